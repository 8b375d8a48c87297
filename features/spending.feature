Feature: Spending stays within the operators' limits
  Hosts spend only from slices that the ledger granted before.

  Scenario: A reached limit is reported with its code and the time of renewal
    Given a spending fleet of 3 hosts with a limit of 900 micros an hour
    When each host reserves and settles 10 micros until it is refused
    Then the hosts have spent between 850 and 900 micros
    And the refusals carry the code 2002 and the time to the end of the hour

  Scenario: Spending renews with the next period
    Given a spending fleet of 3 hosts with a limit of 900 micros an hour
    When each host reserves and settles 10 micros until it is refused
    And an hour passes
    Then each host can reserve 10 micros again

  Scenario: Without store and slices nothing is spent and no limit is reported as reached
    Given a spending fleet of 3 hosts with a limit of 900 micros an hour
    When the store is down for all spending hosts
    Then a reservation of 10 micros at each host is refused with the code 2004

  Scenario: A grant whose reply was lost is recovered
    Given a spending fleet of 1 hosts with a limit of 900 micros an hour
    When the reply of the next ledger write is lost
    Then a reservation of 10 micros at each host is admitted
    And the ledger has granted no more than the hosts hold

  Scenario: A give-back that takes effect late is not applied twice
    Given a spending fleet of 2 hosts with a limit of 900 micros an hour
    When a host gives back a slice and the write takes effect after it was read back
    Then the ledger's grants cover everything that the hosts hold

  Scenario: A lowered limit applies to slices that were granted before
    Given a spending fleet of 3 hosts with a limit of 900 micros an hour
    When each host holds a slice and the limit is lowered to what is already spent
    Then no host that has the new limit can reserve 1 micros

  Scenario: The unused part of older reservations is not spent under a lowered limit
    Given a spending fleet of 3 hosts with a limit of 900 micros an hour
    When each host reserves 300 micros, the limit falls to 100 and nothing was used
    Then the hosts can reserve no more than 100 micros in all

  Scenario: A host with an older document applies the newer limit of the ledger
    Given a spending fleet of 3 hosts with a limit of 900 micros an hour
    When one host receives the lowered limit of 100 and reserves 100 micros
    Then a reservation of 300 micros at each host is refused with the code 2002

  Scenario: A slice given back to its owner with a lost reply is not given back twice
    Given a spending fleet of 3 hosts with a limit of 900 micros an hour
    When each host holds an unused slice and gives it back while replies are lost
    Then the ledger's grants cover everything that the hosts hold

  Scenario: A stopped host gives its slices back
    Given a spending fleet of 3 hosts with a limit of 900 micros an hour
    When each host reserves and settles 10 micros until it is refused
    And every spending host stops
    Then the ledger has granted exactly what was spent

  Scenario: No history of faults exceeds a limit
    Then no generated history of spending exceeds its limit

  Scenario: Every fault at every step of a reservation respects the limit
    Then every spending fault at every spending step respects the limit

  Scenario: The real entry host refuses a chat request whose worst case exceeds the limit
    Given an embedded system whose customer may spend 0.10 a day at 1 per 1000 tokens
    When the customer asks for answers of 20 tokens until one is refused
    Then the refusal has code 2002, ran "no" and a Retry-After
    And the spending settled is at least 0.05 and at most 0.10
