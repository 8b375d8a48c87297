Feature: Faulty callers get a coded error and leave nothing behind
  Whatever a caller sends, the answer is never an internal error, says whether the
  request ran, and afterwards no connection, thread or upstream request is held.

  Scenario Outline: A faulty request is answered with its code
    Given an embedded system with tight bounds on callers
    When a faulty caller sends <fault>
    Then the raw answer has status <status> and code <code> with ran "no"
    And it holds the problem's fields and a message for OpenAI-compatible clients
    And nothing of that caller is left behind

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

  Scenario: Callers that leave in the middle of a stream leave nothing behind
    Given an embedded system with tight bounds on callers
    When 20 callers open a stream and close their connection after the first token
    Then nothing of that caller is left behind

  Scenario: Callers that stop reading don't hold a thread
    Given an embedded system with tight bounds on callers
    When a caller asks for a long answer and never reads
    Then nothing of that caller is left behind

  Scenario: Retry-After tells when to try again
    Given an embedded system with tight bounds on callers
    When a caller asks while the entry host drains
    Then the answer has code 2003 and a Retry-After of 1 second

  Scenario: No input makes an internal error
    Given an embedded system with tight bounds on callers
    Then no generated path, header or body makes an internal error

  Scenario: Bytes of a path arrive at the upstream as they were meant
    Given an embedded system with tight bounds on callers
    When a caller asks for the path "/tickets/caf%C3%A9%20%2541"
    Then the upstream saw that path
