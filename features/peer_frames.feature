Feature: Large calls of many peers at once stay within the memory for them

  Scenario: Calls that wait for a thread fill the memory
    Given a server for peers whose calls take until it is told otherwise
    When 60 peers send a call of 1 MB each
    Then at most 16 of them are kept, and the connections of the others are closed
    When the calls go on
    Then those kept are answered, and so is another call of 1 MB
