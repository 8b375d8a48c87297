Feature: Evidence about a new version is bounded, fair and final
  Scenario: A version like the old one is rarely found to be worse
    When 400 streams of evidence come from versions that are equal to the old one
    Then at most 1 in 100 of them is found to be worse

  Scenario: A counter that compares rates takes back good versions on the same streams
    When 400 streams of evidence come from versions that are equal to the old one
    Then more than 1 in 100 of them fail a comparison of rates

  Scenario: Exposure never passes what was earned
    Then for any sequence of requests the budget spends at most its share

  Scenario: Evidence does not depend on the order or repetition of facts
    Then for any split of outcomes over hosts the merged evidence is the same

  Scenario: Reclaims, cut links and poisoned requests are no evidence
    Then for any mix of reclaims, cut links and poisoned requests nothing is counted

  Scenario: One crash seen by many entry hosts is one event
    Then for any number of entry hosts the losses of one crash count once

  Scenario: The carriers are the same wherever the members are the same
    Then for any members the carriers are few and follow only from members and move

  Scenario: A verdict is written once and never changes
    Then for any interleaving of deciders and lost replies one verdict stands
