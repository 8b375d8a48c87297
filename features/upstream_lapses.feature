Feature: Records of upstreams that vanish together

  Scenario Outline: A host uses upstreams long after they left, since several left at once
    Given <hosts> entry hosts in <data_centres> data centres that know 9 upstreams
    When 4 upstreams leave at the same moment
    Then no host uses them later than 2.4 seconds after that

    Examples:
      | hosts | data_centres |
      | 7     | 3            |
      | 73    | 6            |
      | 195   | 6            |

  Scenario: All upstreams are given up when their records lapse in an outage of the store
    Given 7 entry hosts in 3 data centres that know 9 upstreams
    When the store is down for 5 seconds and all records lapse meanwhile
    And the upstreams write them again 1.5 seconds later
    Then every host knew 9 upstreams all the time

  Scenario: A peer reports a change that is absurdly old
    Given 7 entry hosts in 3 data centres that know 9 upstreams
    When a peer reports the age of a change as not a number
    Then the report is counted as a failure and changes nothing
