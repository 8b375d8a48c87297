Feature: Faulty callers get an error with a code and leak no resources
  Whatever a caller sends, the response is never an internal error and says whether the
  request ran, and afterwards no connection, thread or upstream request is left open.

  Scenario Outline: A faulty request is answered with its error code
    Given an embedded system with tight limits for callers
    When a faulty caller sends <fault>
    Then the raw response has status <status> and code <code> with ran "no"
    And it has the fields of a problem and a message for OpenAI-compatible clients
    And no connection or request of a caller is left open

    Examples:
      | fault                           | status | code |
      | a body that is too large        | 413    | 1004 |
      | a chunked body that is too large| 413    | 1004 |
      | a broken chunk                  | 400    | 1001 |
      | a head that is too large        | 431    | 1013 |
      | a head that never ends          | 408    | 1012 |
      | a body that never ends          | 408    | 1012 |
      | a body that trickles            | 408    | 1012 |
      | an unknown transfer encoding    | 501    | 1014 |
      | a malformed request line        | 400    | 1001 |
      | a control character in a header | 400    | 1001 |
      | an unknown route                | 404    | 1002 |
      | another method                  | 405    | 1009 |
      | an unknown key                  | 401    | 1003 |
      | no key                          | 401    | 1003 |
      | a body that is not JSON         | 422    | 1005 |
      | a body of another type          | 422    | 1005 |
      | a deeply nested body            | 422    | 1005 |
      | a body that is not UTF-8        | 422    | 1005 |
      | a deadline that is no number    | 400    | 1001 |
      | a deadline of a foreign digit   | 400    | 1001 |
      | a deadline of endless digits    | 400    | 1001 |

  Scenario: Callers that disconnect in the middle of a stream leak no resources
    Given an embedded system with tight limits for callers
    When 20 callers open a stream and close their connection after the first token
    Then no connection or request of a caller is left open

  Scenario: Callers that stop reading don't block a thread
    Given an embedded system with tight limits for callers
    When a caller requests a long response and never reads
    Then no connection or request of a caller is left open

  Scenario: Retry-After says when to retry
    Given an embedded system with tight limits for callers
    When a caller sends a request while the entry host drains
    Then the response has code 2003 and a Retry-After of 1 second

  Scenario: No input causes an internal error
    Given an embedded system with tight limits for callers
    Then no generated path, header or body causes an internal error

  Scenario: The decoded bytes of a path arrive at the upstream
    Given an embedded system with tight limits for callers
    When a caller requests the path "/tickets/caf%C3%A9%20%2541"
    Then the upstream received that path

  Scenario Outline: A caller is asked to send a body that is refused or isn't there
    Given an embedded system with tight limits for callers
    When a caller expects 100 Continue before a body of <size> bytes
    Then the first status that it gets is <status>

    Examples:
      | size   | status |
      | 200000 | 413    |
      | 0      | 422    |
