Feature: Responses without end are dropped within limits on size and time

  Background:
    Given a platform whose replicas of "till" send responses without end
    And an entry host

  Scenario Outline: Memory fills with a response without end
    When the responses have no end in the <place>
    And a caller waits for the response to "/charge/1"
    Then the caller gets 502 with code <code> within 1 seconds
    And no replica could send more than <megabytes> megabytes
    And the connections to the replicas were closed

    Examples:
      | place                             | code | megabytes |
      | status line                       | 3010 | 8         |
      | status line after its beginning   | 3010 | 8         |
      | header line                       | 3010 | 8         |
      | headers                           | 3010 | 8         |
      | interim responses                 | 3010 | 8         |
      | response to another request       | 3010 | 8         |
      | line with the size of a chunk     | 3010 | 8         |
      | trailer                           | 3010 | 8         |

  Scenario Outline: A body without end is cut off
    When the responses have no end in the <place>
    And a caller discards the response to "/charge/1"
    Then the response is cut off
    And no replica could send more than 72 megabytes
    And memory grew by less than 16 megabytes
    And the connections to the replicas were closed

    Examples:
      | place               |
      | body without length |
      | body in chunks      |

  Scenario: A body that is declared too large is rejected at once
    When the responses have no end in the body of 100 gigabytes
    And a caller waits for the response to "/charge/1"
    Then the caller gets 502 with code 3010 within 1 seconds
    And no replica could send more than 8 megabytes

  Scenario: A refusal without end does not delay the next attempt
    Given a replica of "till" that answers
    When the responses have no end in the body of a refusal
    And a caller gets "/lookup/1" until a replica without end has received a request
    Then the caller got 200 each time within 1 seconds
    And no replica could send more than 8 megabytes
    And the connections to the replicas were closed

  Scenario: An event without end does not fill the memory
    When the responses have no end in the event of a stream
    And a caller waits for the response to "/charge/1"
    Then the caller gets 502 with code 3010 within 1 seconds
    And no replica could send more than 8 megabytes
    And the connections to the replicas were closed

  Scenario: Slow bytes that are no response are not waited for
    When the responses are slow bytes that are no response
    And a caller waits for the response to "/charge/1"
    Then the caller gets 502 with code 3010 within 1 seconds
    And the connections to the replicas were closed

  Scenario Outline: A call to the platform or to a host has no end
    When <callee> sends a response without end in the <place>
    Then the call fails as <error> within 3 seconds
    And no callee could send more than <megabytes> megabytes

    Examples:
      | callee                       | place             | error                 | megabytes |
      | the platform's store         | interim responses | StoreUnavailableError | 8         |
      | the platform's store         | body              | StoreUnavailableError | 72        |
      | the platform's store         | body of 100 gigabytes | StoreUnavailableError | 8  |
      | a host that is called        | body of 100 gigabytes | UpstreamError         | 8  |
      | a host whose report is read  | body of 100 gigabytes | UpstreamError         | 8  |
      | the platform's duties        | interim responses | CloudError            | 8         |
      | the platform's duties        | body              | CloudError            | 72        |
      | a host that is called        | interim responses | UpstreamError         | 8         |
      | a host that is called        | body              | UpstreamError         | 72        |
      | a host that is called        | event             | UpstreamError         | 8         |
      | a host whose report is read  | interim responses | UpstreamError         | 8         |
      | a host whose report is read  | body              | UpstreamError         | 8         |
      | the list of hosts            | interim responses | UpstreamError         | 8         |
      | the list of hosts            | body              | UpstreamError         | 16        |
      | the cloud API                | interim responses | CloudError            | 8         |
      | the cloud API                | body              | CloudError            | 16        |
