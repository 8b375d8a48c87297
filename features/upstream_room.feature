Feature: Brittle upstreams are not asked for more than they have room for

  Scenario: Entry hosts send brittle upstreams more than they may turn away
    Given a platform with the replicas "a" and "b" of each service
    And an entry host
    And 2 further entry hosts
    And each replica has room for 4 requests of 0.1 s and may turn 3 a second away
    When callers send 40 requests a second of "/charge/1" to each entry host for 8 s
    Then from 4 s on no replica turned away more than 3 requests in any second
    And at least half as many requests were answered as there was room for
