Feature: A chunked body is decoded the same in whatever pieces it arrives

  Scenario: The end of a body is found in the wrong place
    Then chunked bodies with extensions and trailers, cut anywhere, give their content

  Scenario Outline: Faulty chunks are taken for a body
    When a chunked body of at most 100 bytes begins with <bytes>
    Then it is refused as <fault> in whatever pieces it arrives

    Examples:
      | bytes                  | fault     |
      | zz\r\nx\r\n            | malformed |
      | \r\n                   | malformed |
      | 1\r\nx\r\n\r\n         | malformed |
      | 1\r\nxyz\r\n           | malformed |
      | 1_0\r\n                | malformed |
      | +1\r\nx\r\n            | malformed |
      | 1;\x00\r\nx\r\n        | malformed |
      | 65\r\n                 | too large |
      | 32\r\n{50}\r\n33\r\n   | too large |
      | 1;a={600}\r\nx\r\n     | too large |
      | {1100}                 | malformed |
      | 0\r\n{1100}            | malformed |
