Feature: What a request contains stays in the regions that its route and customer allow

  Background:
    Given a platform with the replicas "a" and "b" of each service
    And the replicas "till-b" and "model-b" are in "fife-a"
    And an entry host

  Scenario Outline: A request or its repeat reaches an upstream outside its homes
    Given the route "lookup" allows "<route>" and the customer "<customer>"
    And the replica "till-b" fails its first request
    When callers get "/lookup/1" 20 times
    Then "<other>" got no request and each response but the first was 200

    Examples:
      | route         | customer      | other  |
      | fife          |               | till-a |
      |               | fife          | till-a |
      | lothian, fife | fife          | till-a |
      | lothian       | lothian, fife | till-b |

  Scenario: A stream is resumed outside its homes
    Given the route "helper" allows "fife" and the customer ""
    And the replica "model-b" cuts its first stream
    When a caller posts to "/helper/1"
    Then "model-a" got no request

  Scenario Outline: A request that no upstream may get is sent elsewhere or held
    Given the route "lookup" allows "<route>" and the customer "<customer>"
    And the replica "till-b" leaves
    When callers get "/lookup/1" 5 times
    Then most responses came within 0.3 s, each was 503 with the code <code>
    And "till-a" got no request and "till-b" neither

    Examples:
      | route   | customer | code |
      | fife    |          | 3013 |
      | lothian | fife     | 3012 |
      | nowhere |          | 3013 |

  Scenario: A region that no data centre lies in takes other routes out of service
    Given the route "lookup" allows "nowhere" and the customer ""
    When a caller posts to "/charge/1"
    Then the response is 200 with the replica's body and signature

  Scenario Outline: Rules with homes that can't be read are taken
    Given the rules allow "lookup" the regions <value>
    When callers get "/lookup/1" 5 times
    Then each response was 200 and the rules were rejected

    Examples:
      | value      |
      | "fife"     |
      | [1]        |
      | {"fife":1} |
      | null       |

  Scenario Outline: A call is passed on through an entry host outside its homes
    Given entry hosts of the regions "lothian, lothian, fife"
    When one of "lothian" passes a call with the homes "<homes>" on
    Then entry hosts of "<asked>" get it

    Examples:
      | homes   | asked         |
      |         | lothian, fife |
      | fife    | fife          |
      | lothian | lothian       |
      | nowhere |               |
