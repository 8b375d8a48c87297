Feature: Entry hosts as processes act as one
  The real daemons run as separate processes, with small stand-ins around them.

  Scenario: Four hosts find each other, follow a change and report it
    Given a store and four entry hosts that are each other's peers
    When an operator changes the routes at those hosts' store
    Then the status of any of them is done at revision 2
    When one of the four hosts is killed
    Then each remaining host lists three members
    And the status of any of them is done at revision 2

  Scenario: A frozen host is reported and is a member again after it resumes
    Given a store and four entry hosts that are each other's peers
    When one of the four hosts is frozen
    Then each remaining host lists three members
    When the frozen host resumes
    Then each host lists four members

  Scenario: Calls between two hosts are answered, refused and bounded
    Then a call returns its answer, an unknown method is refused, a silent host times out

  Scenario: A silent connection is not used for a fresh call
    Then a fresh call reaches a host whose idle connection has gone silent

  Scenario: Other versions and frames over the size limit are refused
    Then a host of another version and a frame over the limit are refused; calls continue
