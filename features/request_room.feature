Feature: Requests yield their memory in an order that serves honest callers
  Room for 100 MB of requests, 75 of them for large ones. Sizes in MB; each caller sends
  from a source of its own unless said otherwise.

  Scenario Outline: The wrong request is refused when memory is short
    Given room for requests of 100 MB
    And <requests> are being received
    When another caller has sent <size> MB
    Then <refused> refused

    Examples: A stalled crowd keeps progressing callers out
      | requests                                       | size | refused          |
      | stalled 30, progressing 30                     | 20   | stalled 30 was   |
      | stalled 20, stalled 30, progressing 25         | 10   | stalled 30 was   |
      | stalled and nearly complete 40, progressing 30 | 10   | stalled and nearly complete 40 was |

    Examples: The largest of those in progress yields
      | requests                                           | size | refused            |
      | progressing 40, progressing 30                     | 10   | progressing 40 was |
      | nearly complete 40, progressing 30                 | 10   | progressing 30 was |
      | nearly complete 40, nearly complete 30             | 10   | the other caller was |
      | progressing 1 of the crowd, progressing 30, 20 times progressing 2 of the crowd | 5 | progressing 2 of the crowd was |

    Examples: A small request finds room beside large ones
      | requests                                | size | refused  |
      | nearly complete 40, nearly complete 30  | 0.01 | nobody was |

  Scenario: Complete requests are refused
    Given room for requests of 100 MB
    And progressing 70 are being received
    When they are complete
    And another caller has sent 10 MB
    Then the other caller was refused

  Scenario: Slow but honest callers are refused
    Given room for requests of 100 MB
    When a caller sends 100 kB a second for 60 seconds while others stall
    Then only others were refused

  Scenario: Freed memory stays counted
    Given room for requests of 100 MB
    When 1000 requests of 10 MB are received one after the other
    Then nobody was refused and nothing is held

  Scenario: A single body of the largest size finds no room
    Given room for requests of 100 MB
    When callers may send bodies of 400 MB
    And another caller has sent 400 MB
    Then nobody was refused
