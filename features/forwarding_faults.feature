Feature: Forwarded requests run at most once and get a truthful response

  Background:
    Given a platform with the replicas "a" and "b" of each service
    And an entry host

  Scenario Outline: A request that may run only once
    When each replica's next behaviour is "<fault>"
    And a caller posts to "/charge/1"
    Then the caller gets <status> and the request ran <runs> times

    Examples:
      | fault        | status | runs |
      | reset        | 502    | 1    |
      | cut          | 502    | 1    |
      | garbage      | 502    | 1    |
      | fail         | 500    | 1    |
      | busy         | 502    | 1    |
      | unsigned     | 502    | 0    |
      | refuse       | 503    | 0    |
      | misdirect    | 503    | 0    |
      | unframed     | 200    | 1    |
      | surplus      | 200    | 1    |
      | extra_before | 200    | 1    |

  Scenario Outline: One replica's fault and a request that may be repeated
    When one replica's next behaviour is "<fault>"
    And a caller gets "/lookup/1" until that replica has received a request
    Then the caller got 200 each time

    Examples:
      | fault     |
      | reset     |
      | cut       |
      | garbage   |
      | fail      |
      | refuse    |
      | misdirect |
      | unsigned  |
      | silent    |

  Scenario: A request that one replica refuses is sent to another, even a payment
    When one replica's next behaviour is "refuse"
    And a caller posts to "/charge/1" until that replica has received a request
    Then the caller got 200 each time
    And no request ran twice

  Scenario: A replica that is down gets no request for a while
    When one replica of "till" crashes
    And a caller posts 10 payments
    Then the caller got 200 each time
    And no request ran twice

  Scenario: A stream that may be resumed continues from another replica in one response
    When each replica's next behaviour is "break_stream" once
    And a caller posts to "/helper/1"
    Then the response is 200 with the events 1 to 5

  Scenario: A stream that may not be resumed does not look complete
    When each replica's next behaviour is "break_stream"
    And a caller posts to "/planner/1"
    Then the response is cut off after the event 2

  Scenario: Streams that break off when the retry budget is used up are cut off
    When each replica's next behaviour is "break_stream"
    And a caller asks for 60 streams that may be resumed
    Then each of them is cut off after the event 2

  Scenario: Headers that only entry hosts may set do not reach a replica from a caller
    When a caller posts to "/planner/1" with headers that only entry hosts set
    Then none of these headers reached a replica

  Scenario: A stream is cancelled when its caller disconnects
    Given streams are long
    When a caller disconnects in the middle of a stream
    Then the replica's work on it ends

  Scenario: A response that would be late is reported at the deadline
    When each replica's next behaviour is "silent"
    And a caller posts to "/charge/1" with a deadline of 400 ms
    Then the caller gets 504 and the request ran 1 times

  Scenario: A malformed host record affects no other
    When these host records are written
      """
      not JSON at all
      {"service": "till"}
      {"service": "till", "address": "nowhere", "zone": "z", "version": "v", "capacity": 1, "state": "ready", "sequence": 1}
      {"service": "till", "address": "127.0.0.1:1", "zone": "z", "version": "v", "capacity": "many", "state": "ready", "sequence": 1}
      {"service": "till", "address": "127.0.0.1:1", "zone": "z", "version": "v", "capacity": 1, "state": "odd", "sequence": 1}
      {"service": "till", "address": "127.0.0.1:1", "zone": "z", "version": "v", "capacity": 1, "state": "ready", "sequence": 1, "born": 1.5}
      """
    And a caller posts 10 payments
    Then the caller got 200 each time

  Scenario: A host that is leaving gets no new request
    When one replica of "till" is marked as leaving
    And a caller posts 10 payments
    Then the caller got 200 each time
    And the leaving replica got no request

  Scenario: A host that is disconnected from the store gets changes from its peers
    Given a second entry host
    When the first entry host is disconnected from the store
    And the rules drop the route "/lookup/"
    Then the first entry host answers 404 to "/lookup/1"

  Scenario: A host that stops answers all requests that it has forwarded
    Given an entry host with a grace period of 5 seconds
    When 8 callers use their connections until the host has stopped
    Then every request that ran was answered completely
    And callers were told to close their connection

  Scenario Outline: A replica does not run a request that was truncated
    When a request to a replica is truncated in its <part>
    Then the replica has run nothing

    Examples:
      | part |
      | head |
      | body |

  Scenario Outline: Each attempt counts once for the comparison of versions
    Given the outcomes of attempts are compared
    When each replica's next behaviour is "<fault>"
    And a caller posts to "<path>"
    Then <count> outcomes are compared

    Examples:
      | fault   | path       | count |
      | answer  | /charge/1  | 1     |
      | reset   | /charge/1  | 1     |
      | cut     | /charge/1  | 1     |
      | garbage | /charge/1  | 1     |
      | fail    | /charge/1  | 1     |
      | refuse  | /charge/1  | 0     |
      | reset   | /lookup/1  | 2     |

  Scenario: A request that crashes replicas repeatedly is no longer retried
    Given the request "/lookup/deadly" crashes each replica
    When callers get "/lookup/deadly" until it is suspended
    Then other requests are still answered
