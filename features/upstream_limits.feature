Feature: Upstreams get no more requests than the limit that they name

  Scenario: Three entry hosts together send a limited replica more than its limit
    Given a platform with the replicas "a" and "b" of each service
    And an entry host
    And 2 further entry hosts
    And the replica "till-a" names a limit of 1.8 requests a second
    When callers send 30 requests a second to each entry host for 6 s
    Then from 1 s on "till-a" got at most 15 requests in any 4 s
    And the callers got 200 each time
