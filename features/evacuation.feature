Feature: Upstreams of an evacuated data centre get nothing more

  Background:
    Given a platform with the replicas "a" and "b" of each service
    And the replicas "till-b" and "model-b" are in "fife-a"
    And an entry host

  Scenario: An evacuated data centre still gets requests, or gets none after its return
    When operators evacuate "lothian-a"
    Then within 2 s the hosts know "lothian-a" as evacuated
    When callers get "/lookup/1" 20 times
    Then "till-a" got no request
    When operators take the evacuation of "lothian-a" back
    Then within 2 s the hosts know "" as evacuated
    And callers reach "till-a" again

  Scenario Outline: A request under way goes to an evacuated data centre next
    Given the replica "<replica>" turns the rest away
    When operators evacuate "fife-a"
    Then within 2 s the hosts know "fife-a" as evacuated
    When a caller posts to "<path>" in spite of it
    Then "<other>" got no request

    Examples:
      | replica | path      | other   |
      | till-a  | /lookup/1 | till-b  |
      | model-a | /helper/1 | model-b |

  Scenario: All data centres that could serve are evacuated
    When operators evacuate "fife-a"
    And operators evacuate "lothian-a"
    Then within 2 s the hosts know "fife-a, lothian-a" as evacuated
    When callers get "/lookup/1" 5 times
    Then most responses came within 0.3 s, each was 503 with the code 3014
    And "till-a" got no request and "till-b" neither

  Scenario: The only home is evacuated
    Given the route "lookup" allows "fife" and the customer ""
    When operators evacuate "fife-a"
    Then within 2 s the hosts know "fife-a" as evacuated
    When callers get "/lookup/1" 5 times
    Then most responses came within 0.3 s, each was 503 with the code 3014
    And "till-a" got no request and "till-b" neither

  Scenario: The host that knew of it is replaced
    When operators evacuate "lothian-a"
    And the entry host is replaced
    And callers get "/lookup/1" 20 times
    Then "till-a" got no request

  Scenario: The store comes back from a copy without the evacuation
    Given a copy of the store
    When operators evacuate "fife-a"
    Then within 2 s the hosts know "fife-a" as evacuated
    When the store is replaced by the copy
    Then for 3 s the hosts know "fife-a" as evacuated

  Scenario: A data centre that doesn't exist is evacuated
    When operators evacuate "skye-a"
    And operators evacuate "fife-a"
    Then within 2 s the hosts know "fife-a" as evacuated
    And one evacuation was rejected

  Scenario: A call of another entry host is sent to an evacuated data centre
    When operators evacuate "fife-a"
    Then within 2 s the hosts know "fife-a" as evacuated
    And no call of another host may be sent to "till-b", but to "till-a"
