Feature: An isolated host limits customers to its share

  Scenario: No report of the lease holder arrives for a while
    Given a host with a report that a customer is far below its quota
    When it receives nothing for 3 seconds and is asked for 4 times its share
    Then it admits no more in a span than its share
