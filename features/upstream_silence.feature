Feature: Sound upstreams that fall silent for a second

  Background:
    Given a platform with the replicas "a" and "b" of each service
    And an entry host

  Scenario: Requests and streams at an upstream that is silent for a second are given up
    Given each replica streams 20 events, one each 0.05 s
    When callers begin to send 20 requests a second to "/planner/1" for 4 s
    And all replicas fall silent for 1.2 s after 1 s
    Then the callers got 200 and the whole answer each time

  Scenario Outline: Requests without a stream are lost in a second of silence
    When callers begin to send 20 requests a second to "<path>" for 4 s
    And all replicas fall silent for 1.2 s after 1 s
    Then the callers got 200 and the whole answer each time
    And no upstream was taken for crashed

    Examples:
      | path      |
      | /charge/1 |
      | /lookup/1 |

  Scenario: An upstream is avoided long after it was silent for a second
    When callers begin to send 40 requests a second to "/lookup/1" for 6 s
    And the replica "till-a" falls silent for 1.2 s after 1 s
    Then "till-a" got a request between 0 s and 2 s after its silence
    And the callers got 200 and the whole answer each time

  Scenario: An upstream that stops reading a long body for a second is given up
    Given the replicas take 4096 bytes at a time
    When all replicas fall silent for 1.5 s after 0 s
    And a caller posts 60000 bytes to "/charge/1"
    Then the caller gets 200 and the request ran 1 times

  Scenario: Open connections without a sign of life are kept for too long or not long enough
    Then a silent peer of a connection is given up later than 1.5 s and within 4 s
