Feature: What upstreams tell of themselves in their answers is heeded

  Background:
    Given a platform with the replicas "a" and "b" of each service
    And an entry host

  Scenario Outline: An upstream that tells that it leaves gets new requests
    Given the replica "till-a" tells in its answers that it leaves
    When callers send 40 requests a second to "<path>" for 3 s
    Then "till-a" got no request later than 0.3 s after its first answer
    And the callers got 200 each time

    Examples:
      | path      |
      | /charge/1 |
      | /lookup/1 |
