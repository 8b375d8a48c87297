Feature: Guarantees of real processes under random faults

  Scenario Outline: A short soak violates no guarantee
    When the soak of the seed <seed> runs for 6 seconds
    Then no guarantee is violated

    Examples:
      | seed |
      | 11   |
      | 12   |
