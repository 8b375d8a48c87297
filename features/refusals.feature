Feature: A refusal means "not run" only if the service guarantees it
  Plain services may answer 503 after they ran a request.

  Scenario: A service without that guarantee may have run what it refused
    Given an embedded system whose services give no guarantee about refusals
    When a payment is refused after it ran and sent again with the same key
    Then the caller receives code 3003 and ran "unknown"
    And the payment ran once

  Scenario: A refusal by a service with that guarantee means "not run"
    Given an embedded system whose services refuse before they run
    When a payment is refused before it ran and sent again once that is over
    Then the caller first received code 3002 and ran "no" and then the answer
    And the payment ran once
