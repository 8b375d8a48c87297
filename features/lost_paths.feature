Feature: Entry hosts that have lost the path to their upstreams

  Scenario Outline: Callers of a host that has lost the path to all upstreams are not served
    Given a platform with the replicas "a" and "b" of each service
    And the entry hosts "edge-1, edge-2, edge-3" with links of their own
    And callers have used all routes of "edge-1"
    When the links of "edge-1" to all upstreams <way>
    And callers send 20 requests a second of all routes to "edge-1" for 5 s
    Then from 3 s on the callers got 200 each time
    And no request that may run only once ran twice

    Examples:
      | way    |
      | hang   |
      | reset  |
      | refuse |

  Scenario: A data centre whose hosts have all lost their path is not served
    Given a platform with the replicas "a" and "b" of each service
    And the entry hosts "edge-1, edge-2" with links of their own
    And the entry host "edge-3" of "fife-a" with links of its own
    And callers have used all routes of "edge-1"
    When the links of "edge-1, edge-2" to all upstreams hang
    And callers send 20 requests a second of all routes to "edge-1" for 5 s
    Then from 3 s on the callers got 200 each time
    And no request that may run only once ran twice
