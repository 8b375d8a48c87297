Feature: Requests that share one id settle each for itself

  Scenario: The same key sent twice at the same time leaves no reservation behind
    When two requests with one id are admitted at the same time and end
    Then both settle and the tokens of the attempt are charged once
