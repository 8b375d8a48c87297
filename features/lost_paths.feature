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

  Scenario Outline: A host that has lost its path blames upstreams, requests or versions
    Given a platform with the replicas "a" and "b" of each service
    And the entry hosts "edge-1, edge-2, edge-3" with links of their own
    And callers have used all routes of "edge-1"
    And each replica streams 40 events, one each 0.05 s
    When callers have 6 streams of "edge-1" under way
    And the links of "edge-1" to all upstreams <way>
    And callers send 20 requests a second of all routes to "edge-1" for 4 s
    Then no host believes that an upstream has crashed
    And "edge-1" has counted no failure against a version from 1.5 s on

    Examples:
      | way   |
      | reset |
      | hang  |

  Scenario: A crash on a request that runs through another host is not reported
    Given a platform with the replicas "a" and "b" of each service
    And the entry hosts "edge-1" with links of their own
    And the entry hosts "edge-2, edge-3" without links
    And callers have used all routes of "edge-1"
    And each replica crashes on the part "bad"
    When the links of "edge-1" to all upstreams reset
    And callers send 20 requests a second of all routes to "edge-1" for 2 s
    And a caller posts a prompt with the part "bad" to "edge-1"
    Then all hosts know of a crash on the part "bad" within 5 s

  Scenario: All hosts have lost their paths
    Given a platform with the replicas "a" and "b" of each service
    And the entry hosts "edge-1, edge-2" with links of their own
    And callers have used all routes of "edge-1"
    When the links of "edge-1, edge-2" to all upstreams hang
    And callers send 10 requests a second of all routes to "edge-1" for 5 s
    Then from 3 s on the callers got 503 within 0.6 s each time, with a time to wait
    And no request that may run only once ran twice

  Scenario: Paths that all hosts had lost are used late once they are back
    Given a platform with the replicas "a" and "b" of each service
    And the entry hosts "edge-1, edge-2" with links of their own
    And callers have used all routes of "edge-1"
    When the links of "edge-1, edge-2" to all upstreams hang
    And callers send 10 requests a second of all routes to "edge-1" for 3 s
    And the links of "edge-1, edge-2" are back
    And callers send 10 requests a second of all routes to "edge-1" for 4 s
    Then from 2 s on the callers got 200 each time

  Scenario Outline: A path that is back is not used again
    Given a platform with the replicas "a" and "b" of each service
    And the entry hosts "edge-1, edge-2, edge-3" with links of their own
    And callers have used all routes of "edge-1"
    When the links of "edge-1" to all upstreams <way>
    And callers send 20 requests a second of all routes to "edge-1" for 3 s
    And the links of "edge-1" are back
    And callers send 20 requests a second of all routes to "edge-1" for 6 s
    Then from 4 s on "edge-1" needed no other host
    And from 0 s on the callers got 200 each time

    Examples:
      | way   |
      | hang  |
      | reset |

  Scenario: A caller leaves a request that runs through another host
    Given a platform with the replicas "a" and "b" of each service
    And the entry hosts "edge-1, edge-2" with links of their own
    And callers have used all routes of "edge-1"
    And each replica streams 40 events, one each 0.05 s
    When the links of "edge-1" to all upstreams reset
    And callers send 20 requests a second of all routes to "edge-1" for 3 s
    And a caller of "edge-1" leaves a stream after its first event
    Then the replica's work on it ends within 0.5 s

  Scenario: The helper ends after it has sent a request on
    Given a platform with the replicas "a" and "b" of each service
    And the entry hosts "edge-1, edge-2" with links of their own
    And callers have used all routes of "edge-1"
    When the links of "edge-1" to all upstreams reset
    And callers send 20 requests a second of all routes to "edge-1" for 2 s
    And each replica's next behaviour is "silent"
    And a caller posts to "/charge/1" of "edge-1" and "edge-2" loses its connections
    Then the caller gets 502 and the request ran 1 times

  Scenario Outline: A host is asked to pass on a malformed call
    Given a platform with the replicas "a" and "b" of each service
    And the entry hosts "edge-1" with links of their own
    When a process sends "edge-1" a call with the order "<purpose>", "<upstream>", "<wait>"
    Then the response is <status> with code <code>, "<outcome>", and no replica got a request

    Examples:
      | purpose | upstream    | wait | status | code | outcome  |
      | send    | nobody/1    | 500  | 503    | 3001 | not sent |
      | send    | till-a      | 500  | 400    | 1001 | not sent |
      | send    | till-a/x    | 500  | 400    | 1001 | not sent |
      | send    | till-a/99   | 500  | 503    | 3001 | not sent |
      | run     | till-a/born | 500  | 400    | 1001 | not sent |
      | send    | till-a/born | soon | 400    | 1001 | not sent |
      | send    | till-a/born | 0    | 502    | 3002 | not sent |
      | check   | nobody/1    | 500  | 503    | 4004 | failed   |

  Scenario: Connections that are silent for good are used again and again
    Given a platform with the replicas "a" and "b" of each service
    And the entry hosts "edge-1, edge-2" with links of their own
    And callers have used all routes of "edge-1"
    When the links of "edge-1" to all upstreams fall silent
    And callers send 20 requests a second of all routes to "edge-1" for 6 s
    Then no more requests of "edge-1" failed than connections were silent
    And no request that may run only once ran twice
