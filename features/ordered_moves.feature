Feature: Operators' orders for moves are carried out in time

  Scenario Outline: A good version gets all requests and its move is reported as completed
    Given operators order a move within <window> seconds at <rate> requests a second
    When the window of the move has passed
    Then the reported state was "in_progress" and then "completed" in time
    And every request goes to the new version

    Examples:
      | window | rate |
      | 20     | 8    |
      | 30     | 40   |
      | 60     | 20   |

  Scenario Outline: A bad version is rolled back
    Given operators order a move within <window> seconds at <rate> requests a second to a version that <fault>
    When the window of the move has passed
    Then the reported state was "in_progress" and then "rolled_back" in time
    And at most a tenth of all requests and 50 more went to it
    And none went to it later than 5 seconds after its 50th bad answer
    And every request goes to the old version

    Examples:
      | window | rate | fault                |
      | 20     | 40   | fails at once        |
      | 30     | 40   | fails later          |
      | 30     | 40   | is slow at once      |
      | 40     | 40   | is slow later        |
      | 40     | 60   | fails on one route   |
      | 40     | 60   | is slow on one route |

  Scenario Outline: Faults in the middle of a move
    Given operators order a move within 40 seconds at 40 requests a second to a version that <fault>
    When <event> after 12 seconds
    And the window of the move has passed
    Then the reported state was "in_progress" and then "<state>" in time
    And at most a tenth of all requests and 50 more went to it

    Examples:
      | fault         | event                         | state       |
      | is good       | the deciding host is killed   | completed   |
      | fails later   | the deciding host is killed   | rolled_back |
      | is good       | all hosts are killed at once  | completed   |
      | fails later   | all hosts are killed at once  | rolled_back |
      | is good       | the store is down for 6 seconds | completed |
      | fails later   | the store is down for 6 seconds | rolled_back |

  Scenario: An order that is written again is another move
    Given operators order a move within 20 seconds at 40 requests a second to a version that fails at once
    When the window of the move has passed
    And the version is repaired and operators order it again
    And the window of the move has passed
    Then the reported state was "rolled_back" and then "in_progress" and then "completed"

  Scenario Outline: A version is tried again after the store has lost the verdict on it
    Given operators order a move within 20 seconds at 40 requests a second to a version that fails at once
    And a copy of the store was taken <seconds> seconds later
    When the window of the move has passed
    And the store comes back from the copy and <then>
    Then no request goes to the new version in 25 seconds
    And the reported state is "rolled_back" at the end

    Examples:
      | seconds | then                          |
      | 0       | all hosts go on               |
      | 3       | all hosts go on               |
      | 0       | the deciding host is killed   |
      | 3       | the deciding host is killed   |

  Scenario Outline: A move is not finished after the store came back in the middle of it
    Given operators order a move within 40 seconds at 40 requests a second to a version that <fault>
    And a copy of the store was taken <seconds> seconds later
    When 12 seconds pass
    And the store comes back from the copy and all hosts go on
    And the window of the move has passed
    Then the reported state is "<state>" at the end
    And at most a tenth of all requests and 50 more went to it

    Examples:
      | fault       | seconds | state       |
      | is good     | 0       | completed   |
      | is good     | 6       | completed   |
      | fails later | 0       | rolled_back |
      | fails later | 6       | rolled_back |

  Scenario: Nothing goes to the new version before a move has begun
    Given operators order a move within 20 seconds at 40 requests a second
    And the store is down
    When 5 seconds pass
    Then every request went to the old version

  Scenario: All requests go to an unproved version when no other host is left
    Given operators order a move within 40 seconds at 40 requests a second to a version that is slow at once
    When 6 seconds pass
    And the hosts of the old version are lost for 6 seconds
    And the window of the move has passed
    Then at most a tenth of all requests and 50 more went to it
    And requests were rejected meanwhile

  Scenario Outline: A slow version is kept because the old one is overloaded
    Given operators order a move within <window> seconds at 60 requests a second to a version that is slow at once
    When the old version is overloaded
    And the window of the move has passed
    Then the reported state was "in_progress" and then "rolled_back" in time
    And at most a tenth of all requests and 50 more went to it

    Examples:
      | window |
      | 15     |
      | 40     |

  Scenario: A host with few requests in a move can't tell what is slow
    Given 7 hosts have served 60 requests a second for 10 seconds
    When operators order a move within 15 seconds to a version that is slow at once
    And 1 seconds pass
    Then the next slow answer of the new version counts as slow at each host
