Feature: What other operators reported of systems like this one

  Background:
    Given a platform with the replicas "a" and "b" of each service
    And an entry host

  Scenario Outline: An odd host record ends the entry host or stops it from following
    When a host record with <oddity> is written
    And the replica "till-c" is started and the others leave
    And a caller posts 10 payments
    Then the caller got 200 each time
    And no loop of the entry host has failed
    And the entry host <uses> that record

    Examples:
      | oddity                             | uses          |
      | lists nested 100000 deep           | does not use  |
      | objects nested 100000 deep         | does not use  |
      | a capacity of 400 digits           | does not use  |
      | a capacity of 18 digits            | does not use  |
      | a start of 30 digits               | does not use  |
      | a sequence of 400 digits           | does not use  |
      | another field of 5000 digits       | may use       |
      | a port of 99999                    | does not use  |
      | a port of 5000 digits              | does not use  |
      | a port with a sign                 | does not use  |
      | a port with an underscore          | does not use  |
      | a port in digits of another script | does not use  |
      | bytes that are no text             | does not use  |

  Scenario Outline: An answer whose head was cut is framed as whole
    When each replica's next behaviour is "<fault>"
    And a caller posts to "/charge/1"
    Then the caller gets 502 and the request ran 1 times

    Examples:
      | fault               |
      | cut_after_status    |
      | cut_after_signature |
      | cut_in_name         |
      | cut_in_length       |
      | cut_after_length    |

  Scenario Outline: A request that may be repeated is not, though its answer's head was cut
    When one replica's next behaviour is "<fault>"
    And a caller gets "/lookup/1" until that replica has received a request
    Then the caller got 200 each time
    And each body is whole

    Examples:
      | fault               |
      | cut_after_status    |
      | cut_after_signature |
      | cut_in_name         |
      | cut_in_length       |
      | cut_after_length    |

  Scenario Outline: A stream whose head was cut looks complete
    When each replica's next behaviour is "<fault>"
    And a caller posts to "/planner/1"
    Then the caller gets 502 and the request ran 1 times

    Examples:
      | fault               |
      | cut_after_signature |
      | cut_in_name         |

  Scenario: A request that comes late in a planned stop is cut without an answer
    Given an entry host with a grace period of 5 seconds
    And the replicas record what they receive late in the stop
    When 8 callers use their connections until the host has stopped
    Then no request was passed on whose time ends after the host
    And every request that ran was answered completely
