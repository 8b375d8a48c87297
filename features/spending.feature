Feature: Spending stays within the operators' limits
  Hosts spend only from slices that the ledger granted before.

  Scenario: A reached limit is told with its code and the time of renewal
    Given a spending fleet of 3 hosts with a limit of 900 micros an hour
    When each host reserves and settles 10 micros until it is refused
    Then the hosts have spent between 850 and 900 micros
    And the refusals carry the code 2002 and the time to the end of the hour

  Scenario: Spending renews with the next period
    Given a spending fleet of 3 hosts with a limit of 900 micros an hour
    When each host reserves and settles 10 micros until it is refused
    And an hour passes
    Then each host can reserve 10 micros again

  Scenario: Without store and slices nothing is spent and nothing is called reached
    Given a spending fleet of 3 hosts with a limit of 900 micros an hour
    When the store is down for all spending hosts
    Then a reservation of 10 micros at each host is refused with the code 2004

  Scenario: A grant whose reply was lost is found again
    Given a spending fleet of 1 hosts with a limit of 900 micros an hour
    When the reply of the next ledger write is lost
    Then a reservation of 10 micros at each host is admitted
    And the ledger has granted no more than the hosts hold

  Scenario: A give-back that takes effect late is not applied twice
    Given a spending fleet of 2 hosts with a limit of 900 micros an hour
    When a host gives back a slice and the write takes effect after it was read back
    Then the ledger's grants cover everything that the hosts hold

  Scenario: A lowered limit binds slices that were handed out before
    Given a spending fleet of 3 hosts with a limit of 900 micros an hour
    When each host holds a slice and the limit is lowered to what is already spent
    Then no host that knows the new limit can reserve 1 micros

  Scenario: A stopped host gives its slices back
    Given a spending fleet of 3 hosts with a limit of 900 micros an hour
    When each host reserves and settles 10 micros until it is refused
    And every spending host stops
    Then the ledger has granted exactly what was spent

  Scenario: No history of faults passes a limit
    Then no generated history of spending passes its limit

  Scenario: Every fault at every step of a reservation keeps the limit
    Then every spending fault at every spending step keeps the limit
