Feature: Answers that end with their connection are complete only if they were not cut

  Background:
    Given a platform with the replicas "a" and "b" of each service
    And an entry host

  Scenario Outline: A stream with neither a length nor chunks is forwarded whole
    When each replica's next behaviour is "unframed_stream"
    And a caller posts to "<path>"
    Then the response is 200 with the events 1 to 5

    Examples:
      | path       |
      | /helper/1  |
      | /planner/1 |

  Scenario Outline: A stream that ended inside an event and may not be resumed looks complete
    When each replica's next behaviour is "<fault>"
    And a caller posts to "/planner/1"
    Then the response is cut off after the event 2

    Examples:
      | fault                   |
      | end_inside_event        |
      | end_chunks_inside_event |
      | reset_unframed          |

  Scenario Outline: A stream that ended inside an event is not resumed at another replica
    When one replica's next stream is "<fault>"
    And a caller posts to "/helper/1" until that replica has received a request
    Then the caller got the events 1 to 5 each time

    Examples:
      | fault                   |
      | end_inside_event        |
      | end_chunks_inside_event |
      | reset_unframed          |

  Scenario: A body that would end with its connection and was reset is taken as whole
    When each replica's next behaviour is "reset_unframed_body"
    And a caller posts to "/charge/1"
    Then the caller gets 502 and the request ran 1 times

  Scenario: A body that was reset is not asked for again where that is safe
    When one replica's next behaviour is "reset_unframed_body"
    And a caller gets "/lookup/1" until that replica has received a request
    Then the caller got 200 each time
