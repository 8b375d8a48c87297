Feature: A refusal means "not run" only where that is certain
  Plain services may answer 503 after they ran a request.

  Scenario: A service that makes no promise may have run what it refused
    Given an embedded system whose services make no promise about refusals
    When a payment is refused after it ran and sent again with the same key
    Then the caller is told code 3003 and ran "unknown"
    And the payment ran once

  Scenario: A service that promises to refuse before running is believed
    Given an embedded system whose services refuse before they run
    When a payment is refused before it ran and sent again once that is over
    Then the caller was told code 3002 and ran "no" and then got the answer
    And the payment ran once
