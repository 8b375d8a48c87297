Feature: Hosts agree on the members of the fleet and exchange facts
  Time is virtual and the network is in memory.

  Scenario: Merging facts is commutative, associative and idempotent and never goes back
    Then any facts merged in any order give equal tables whose sequences never fall

  Scenario: A fact is removed when its lifetime has passed, and not accepted again
    Then a fact is gone at all hosts after its lifetime

  Scenario: A killed host is detected within 3 seconds by 7 hosts
    Given a fleet of 7 hosts that agree on the members
    Then each of 20 kills is detected by all others within 3 seconds

  Scenario: A frozen host that resumes is a member again
    Given a fleet of 7 hosts that agree on the members
    When host "entry-3" freezes for 60 seconds and resumes
    Then all hosts agree on the members within 10 seconds

  Scenario: A data centre of 40 hosts in 4 leaves at once
    Given a fleet of 40 hosts that agree on the members
    When all hosts of data centre "dc-1" are killed
    Then all hosts agree on the members within 15 seconds

  Scenario: Regions that are partitioned for five minutes converge without a traffic burst
    Given a fleet of 40 hosts that agree on the members
    When the hosts of "dc-0" and "dc-1" are partitioned from the others for 300 seconds
    Then all hosts agree on the members within 30 seconds
    And no host transfers more than 4096 bytes a second in the first 30 seconds

  Scenario: A host joins through one seed
    Given a fleet of 7 hosts that agree on the members
    When a host joins with the address of "entry-5" alone
    Then all hosts agree on the members within 10 seconds

  Scenario: A host that restarts at once at another address replaces its record
    Given a fleet of 7 hosts that agree on the members
    When host "entry-3" is killed and started again in the same second, twice
    Then all hosts agree on the members within 10 seconds
    And all hosts have the last address of "entry-3"

  Scenario Outline: All hosts start at the same moment
    Given <hosts> hosts start at the same moment with 3 seeds each
    Then all hosts agree on the members within <seconds> seconds

    Examples:
      | hosts | seconds |
      | 7     | 2       |
      | 73    | 3       |
      | 380   | 7       |

  Scenario: Hosts converge after any mix of faults
    Then after any mix of kills, freezes, partitions and losses the hosts agree
