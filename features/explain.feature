Feature: One request is explained from the log lines of several hosts

  Scenario Outline: The cause is named
    Given the log lines of two hosts
    When an engineer asks for "<id>"
    Then the lines are in order and the cause is "<cause>"

    Examples:
      | id   | cause                                                           |
      | aa01 | the customer was at its quota; it did not run                   |
      | bb02 | an upstream broke off; the request may have run; it may have run |
      | cc03 | the time of the caller or of the route was up; it may have run  |
      | dd04 | it was answered with status 200                                 |
      | ee05 | the lines end before the request does; its process was killed   |

  Scenario: An id that no log line contains
    Given the log lines of two hosts
    When an engineer asks for "ff06"
    Then the output says that no log line has this id
