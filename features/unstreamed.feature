Feature: Unstreamed answers arrive whole however long they take to generate

  Scenario: An unstreamed answer may take longer than the bound on the first byte
    Given an embedded system whose chat route bounds the first byte to 0.2 seconds
    When a caller asks for an unstreamed answer of 60 tokens
    Then the unstreamed answer has 60 tokens

  Scenario: An answer without the caller's bound ends by itself
    Given an embedded system whose chat route bounds the first byte to 0.2 seconds
    When a caller asks for an unstreamed answer without a bound
    Then the unstreamed answer has 16 tokens
