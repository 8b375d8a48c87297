Feature: What other operators reported of systems like this one

  Background:
    Given a platform with the replicas "a" and "b" of each service
    And an entry host

  Scenario Outline: An odd host record ends the entry host or stops it from following
    When a host record with <oddity> is written
    And the replica "till-c" is started and the others leave
    And a caller posts 10 payments
    Then the caller got 200 each time
    And no loop of the entry host has failed
    And the entry host <uses> that record

    Examples:
      | oddity                             | uses          |
      | lists nested 100000 deep           | does not use  |
      | objects nested 100000 deep         | does not use  |
      | a capacity of 400 digits           | does not use  |
      | a capacity of 18 digits            | does not use  |
      | a start of 30 digits               | does not use  |
      | a sequence of 400 digits           | does not use  |
      | another field of 5000 digits       | may use       |
      | a port of 99999                    | does not use  |
      | a port of 5000 digits              | does not use  |
      | a port with a sign                 | does not use  |
      | a port with an underscore          | does not use  |
      | a port in digits of another script | does not use  |
      | bytes that are no text             | does not use  |
