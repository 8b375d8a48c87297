Feature: Evidence about a new version is bounded, unbiased and final
  Scenario: A version like the old one is rarely found to be worse
    When 400 streams of evidence come from versions that are equal to the old one
    Then at most 1 in 100 of them is found to be worse

  Scenario: A plain comparison of rates rolls back good versions on the same streams
    When 400 streams of evidence come from versions that are equal to the old one
    Then more than 1 in 100 of them fail a comparison of rates

  Scenario: Exposure never exceeds the earned budget
    Then for any sequence of requests the budget spends at most its share

  Scenario: Evidence does not depend on the order or repetition of facts
    Then for any split of outcomes over hosts the merged evidence is the same

  Scenario: Reclaims, broken links and requests that crash upstreams are no evidence
    Then for any mix of reclaims, broken links and crashing requests nothing is counted

  Scenario: One crash seen by many entry hosts is one event
    Then for any number of entry hosts the losses of one crash count once

  Scenario: Hosts with the same members choose the same canary hosts
    Then for any members the canary hosts are few and depend only on members and move

  Scenario: A verdict is written once and never changes
    Then for any interleaving of deciders and lost replies one verdict stands

  Scenario: A version is proved although its latency was never compared
    Given a move at nine tenths of its time without evidence against the new version
    Then the new version is proved
    But it is not if a route's answers could not be compared by their latency
