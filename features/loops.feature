Feature: Background loops of an entry host are restarted after an error

  Scenario: A loop that fails twice runs again and its failures are counted
    When a background loop fails 2 times before it runs
    Then it runs to its end and 2 loop failures are counted

  Scenario: A failing loop ends when the host stops
    When a background loop fails for ever and the host stops
    Then the loop is not started again
