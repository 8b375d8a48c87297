Feature: Forwarded requests run once at most and are told the truth

  Background:
    Given a platform with the replicas "a" and "b" of each service
    And an entry host

  Scenario Outline: A request that may run once
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
    And a caller gets "/lookup/1" until that replica was asked
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

  Scenario: A refusal by one replica sends even a payment elsewhere
    When one replica's next behaviour is "refuse"
    And a caller posts to "/charge/1" until that replica was asked
    Then the caller got 200 each time
    And no request ran twice

  Scenario: A replica that is down is not asked again for a while
    When one replica of "till" crashes
    And a caller posts 10 payments
    Then the caller got 200 each time
    And no request ran twice

  Scenario: A stream that may be resumed goes on elsewhere in one answer
    When each replica's next behaviour is "break_stream" once
    And a caller posts to "/helper/1"
    Then the answer is 200 with the events 1 to 5

  Scenario: A stream that may not be resumed does not look complete
    When each replica's next behaviour is "break_stream"
    And a caller posts to "/planner/1"
    Then the answer is cut off after the event 2

  Scenario: Streams that break off when the repeats are used up are cut off
    When each replica's next behaviour is "break_stream"
    And a caller asks for 60 streams that may be resumed
    Then each of them is cut off after the event 2

  Scenario: What a caller sets for itself does not reach a replica
    When a caller posts to "/planner/1" with headers that only entry hosts set
    Then none of these headers reached a replica

  Scenario: A caller that leaves takes its stream along
    Given streams are long
    When a caller leaves in the middle of a stream
    Then the replica's work on it ends

  Scenario: An answer that comes too late is told at the route's time
    When each replica's next behaviour is "silent"
    And a caller posts to "/charge/1" with a deadline of 400 ms
    Then the caller gets 504 and the request ran 1 times

  Scenario: A bad host record harms no other
    When records of hosts come with
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
    When one replica of "till" says that it is leaving
    And a caller posts 10 payments
    Then the caller got 200 each time
    And the leaving replica got none

  Scenario: A host that the store turns away learns from its peers
    Given a second entry host
    When the store turns the first entry host away
    And the rules drop the route "/lookup/"
    Then the first entry host answers 404 to "/lookup/1"

  Scenario: A host that stops answers all that it has passed on
    Given an entry host with 5 seconds to stop
    When 8 callers use their connections until the host has stopped
    Then every request that ran was answered whole
    And callers were told to connect elsewhere

  Scenario Outline: A replica does not run a request that was cut off
    When a request to a replica is cut off in its <part>
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

  Scenario: A crash that follows a request again and again ends its repeats
    Given the request "/lookup/deadly" crashes each replica
    When callers get "/lookup/deadly" until it is suspended
    Then other requests are still answered
