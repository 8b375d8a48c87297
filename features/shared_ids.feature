Feature: Requests that share one id are settled separately

  Scenario: The same key sent twice at the same time leaks no reservation
    When two requests with one id are admitted at the same time and end
    Then both settle and the tokens of the attempt are charged once
