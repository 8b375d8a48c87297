Feature: The outcome of one request under faults
  Entry hosts run in one process on a virtual clock. Each answer that a caller received is
  checked against what the stand-in upstreams ran.

  Scenario: Every fault at every step preserves the guarantees for single requests
    When each fault is injected into each kind of request at each step
    Then none of the requests is lost, run twice or misreported

  Scenario: Generated histories of several faults preserve the guarantees
    Then no generated history loses, runs twice or misreports a request

  Scenario Outline: A broken mechanism is detected by the matrix
    When each fault is injected into each kind of request while "<mechanism>" is broken
    Then the matrix shows "<mark>"

    Examples:
      | mechanism     | mark |
      | claims        | D    |
      | copies        | W    |
      | fencing       | W    |
      | retry rule    | D    |
      | release rule  | W    |
      | adoption      | L    |

  Scenario: A request that crashes upstreams is quarantined at all entry hosts
    Given a chat request that crashes each engine that runs it
    When its caller sends it to one entry host after another
    Then two engines crashed and every entry host refuses it with code 1010
    And its crashes are excluded from the evidence on the version

  Scenario: Other requests at a crashed engine are not quarantined
    Given a chat request that crashes each engine that runs it
    When another request runs at the same engine during the first crash
    Then the other request gets its whole answer and is not quarantined

  Scenario: A key that is used with another body is refused
    When a caller sends a payment and then another body with the same key
    Then the second answer has code 1006 and ran "no"

  Scenario: The same key of two customers names two requests
    Then two customers' requests with one key have different ids

  Scenario: An accepted request is resumed by its id at another entry host
    When a bulletin's entry host is killed mid-stream and the caller asks by request id
    Then the rest of the events follows without a gap and without a repeat
