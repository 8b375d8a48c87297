Feature: Operators see what the system costs
  Usage is summed over all hosts, including those that no longer run.

  Scenario: The usage of several hosts is summed, each host's once
    Given two usage recorders and a store that loses the reply of each first write
    When both record 3 answers of 10 tokens at 50 micros and write twice
    Then the day's usage is 6 requests, 60 tokens and 300 micros

  Scenario: Usage that could not be written is written later
    Given two usage recorders and a store that loses the reply of each first write
    When the store is down while both record 1 answers and is up again at the next write
    Then the day's usage is 2 requests, 20 tokens and 100 micros

  Scenario Outline: A limit's forecast alerts operators before it is reached
    Then <spent> of 1000 micros after <hours> hours of a day is "<alert>"

    Examples:
      | spent | hours | alert           |
      | 100   | 12    | none            |
      | 600   | 12    | will be reached |
      | 800   | 23    | near            |
      | 1000  | 12    | reached         |

  Scenario: The price of the hosts is divided in proportion to tokens
    Then generated usage divides the hosts' price without a remainder

  Scenario: The command prints a customer's usage after a real request
    Given a store, a host list, three engines, two services and two entry hosts as processes
    When a caller asks the entry host "entry-0" for a streamed answer of 20 tokens
    And the entry host "entry-0" is stopped
    Then the bill shows at least 20 tokens of the customer "example" on the route "chat"
