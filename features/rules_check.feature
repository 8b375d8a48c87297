Feature: Rules are checked before they are sent

  Scenario Outline: An entry that can't work as written is sent unnoticed
    Given forwarding rules without doubts
    When the <section> "<name>" has <change>
    Then the check finds "<finding>" and ends with 8

    Examples:
      | section  | name  | change                                     | finding                           |
      | routes   | pay   | {"prefix": "/charge"}                      | unreachable: routes/pay/prefix    |
      | routes   | pay   | {"prefix": "/lookup/"}                     | unreachable: routes/pay           |
      | routes   | pay   | {"service": "tills"}                       | undefined: routes/pay/shares      |
      | routes   | pay   | {"timeout_ms": 200}                        | contradiction: routes/pay/latency |
      | routes   | pay   | {"timeout_ms": 0}                          | contradiction: routes/pay/timeout |
      | routes   | pay   | {"max_attempts": 0}                        | contradiction: routes/pay/attempt |
      | routes   | pay   | {"backends": [{"service": "till"}, {"service": "spare", "weight": 0}]} | unreachable: routes/pay/shares |
      | routes   | pay   | {"service": "spare"}                       | unreachable: services/till        |
      | services | till  | {"scaling": {"min_replicas": 3, "max_replicas": 2}} | contradiction: services/till/scaling |
      | services | till  | {"cold_start_s": 3, "cold_per_s": 0}       | contradiction: services/till/cold |
      | tenants  | desk  | {"api_keys": []}                           | unreachable: customers/desk       |
      | tenants  | desk  | {"api_keys": ["gate-key"]}                 | unreachable: customers/desk       |
      | tenants  | desk  | {"rate_per_s": 10, "unit": "token_stream", "uncached_tokens": 200} | contradiction: customers/desk/quota |
      | tenants  | desk  | {"allowed_regions": ["fife"]}              | contradiction: routes/look/homes  |
      | limits   | all   | {"max_body_bytes": 100}                    | contradiction: limits/body_bytes  |
      | limits   | all   | {"idle_timeout_ms": 0}                     | contradiction: limits/idle_timeout |

  Scenario: Sound rules are doubted
    Given forwarding rules without doubts
    Then the check finds nothing and ends with 0

  Scenario: Rules that can't be read pass the check
    Given forwarding rules without doubts
    When the routes "pay" has {"timeout_ms": "soon"}
    Then the check ends with 1 and the error 5002

  Scenario: A key is shown among the differences
    Given forwarding rules without doubts
    When the tenants "desk" has {"api_keys": ["new-desk-key"]}
    And the routes "pay" has {"timeout_ms": 4000}
    Then compared with the former rules "customers/desk: changed: keys 1 -> 1 (+1, -1)" is told
    And compared with the former rules "routes/pay: changed: timeout 0:00:02 -> 0:00:04" is told
    And no key is printed

  Scenario: Changed rules whose version the hosts ignore are sent
    Given forwarding rules without doubts
    When the routes "pay" has {"timeout_ms": 4000}
    And the version is 6
    Then compared with the former rules "unreachable: version" is told

  Scenario: The rules in force are those in the platform's store
    Given forwarding rules without doubts
    And a platform's store with the former rules
    When the routes "pay" has {"timeout_ms": 4000}
    Then compared with the store "1 differences from version 7" is told
