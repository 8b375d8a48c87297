Feature: Events are read whole however an upstream's bytes arrive
  A stream that is cut off is told from one that ended, in each form of framing.

  Scenario: Any cutting of the bytes gives the same events
    Given an upstream that sends the bytes it is told
    Then events with any line ends and any cutting arrive whole and in order

  Scenario Outline: A stream that is cut off is reported
    Given an upstream that sends the bytes it is told
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
