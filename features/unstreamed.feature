Feature: Unstreamed answers arrive whole however long they take to generate

  Scenario: An unstreamed answer may take longer than the first-byte timeout
    Given an embedded system whose chat route has a first-byte timeout of 0.2 seconds
    When a caller asks for an unstreamed answer of 60 tokens
    Then the unstreamed answer has 60 tokens

  Scenario: An answer without a token limit of the caller ends by itself
    Given an embedded system whose chat route has a first-byte timeout of 0.2 seconds
    When a caller asks for an unstreamed answer without a token limit
    Then the unstreamed answer has 16 tokens
