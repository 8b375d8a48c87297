Feature: The operators' document is validated completely and its examples are valid
  Every fault is reported with its line and path, before anything is stored.

  Scenario Outline: The example documents are valid and have the sizes of their deployment
    Then the example document "<name>" is valid with 5 customers, a limit for each and an owner for each section

    Examples:
      | name                  |
      | lanark.yaml           |
      | udraaberplatform.yaml |

  Scenario: All faults of a document are reported with line and path
    When a document with five faults is checked
    Then each of them is reported with its line and path

  Scenario Outline: A faulty document is refused
    When an example document is checked with <fault>
    Then it is refused with code <code> at "<path>"

    Examples:
      | fault                               | code | path                        |
      | a section defined twice             | 5001 |                             |
      | an alias                            | 5001 |                             |
      | a move that ends before it starts   | 5003 | moves/assistant-v5/finish_by|
      | two routes of one method and path   | 5003 | routes/second               |
      | a key of two customers              | 5003 | customers/second/key_sha256 |
      | an owner of an unknown section      | 5003 | owners/nothing              |

  Scenario: Spans connect the caller, the entry host and the upstream
    Given an entry host that exports spans to a test receiver
    When a caller sends a request with a traceparent
    Then the receiver gets spans of the caller's trace for the request and its attempt
    And the upstream received the same trace
