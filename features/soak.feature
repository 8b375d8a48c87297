Feature: Real processes under random faults

  Scenario Outline: A short soak breaks no promise
    When the soak of the seed <seed> is played for 6 seconds
    Then no promise is broken

    Examples:
      | seed |
      | 11   |
      | 12   |
