Feature: Upstreams that leave, fail or are slow
  Entry hosts run in one process on a virtual clock.

  Scenario: An upstream that reports that it is leaving gets no new requests
    When an engine reports in an answer that it is leaving
    Then no entry host sends it another request

  Scenario: Requests beyond every upstream's limit are shed before they run
    When all upstreams are at their concurrency limit
    Then a further request is refused with code 2001 and ran "no"

  Scenario: Retries stay within their budget while upstreams fail
    When a third of the engines refuse connections under many requests
    Then there are at most 1.2 attempts for each request

  Scenario: A long stream leaves an upstream that is reclaimed, with its KV cache
    Given a bulletin of 400 tokens at an engine with a long prompt
    When the engine's reclaim is listed while the stream runs
    Then the answer is whole and the next engine imported the known tokens
    And no token was generated twice or computed again

  Scenario: A refused export costs computing time only
    Given a bulletin of 400 tokens at an engine with a long prompt
    When the engine's reclaim is listed while the stream runs and it refuses exports
    Then the answer is whole and the known tokens were computed again

  Scenario: A slow lookup is sent to a second upstream, and nothing else is
    When a lookup's first upstream answers only after another one has
    Then the lookup's answer comes from the second upstream
    And only idempotent lookups of plain services may be hedged
