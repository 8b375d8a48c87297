Feature: Events are read completely however an upstream's bytes arrive
  A truncated stream is distinguished from a complete one, in each form of framing.

  Scenario: Any split of the bytes gives the same events
    Given an upstream that sends given bytes
    Then events with any line endings and any split arrive complete and in order

  Scenario Outline: A truncated stream is reported
    Given an upstream that sends given bytes
    When it sends two events as <framing> and closes <when>
    Then the reader gets <count> events and the end "<end>"

    Examples:
      | framing        | when                 | count | end         |
      | chunks         | after the last chunk | 2     | whole       |
      | chunks         | before the end mark  | 2     | interrupted |
      | chunks         | inside a chunk       | 1     | interrupted |
      | counted bytes  | after all bytes      | 2     | whole       |
      | counted bytes  | too early            | 1     | interrupted |
      | uncounted bytes| after all bytes      | 2     | whole       |
