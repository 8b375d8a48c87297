Feature: Broken answers reach nobody
  Heads, chunks and trailers are read by the grammar of RFC 9110 and RFC 9112, by callers'
  entry hosts and wherever else answers are read. Each answer comes twice, on a connection
  that is closed after it and on one that is kept.

  Background:
    Given callers and calls of each kind, and servers that send given bytes

  Scenario: Sound answers with a length
    When answers come with
      | lines                                               |
      | Content-Length: {n}                                 |
      | X-A:\r\nContent-Length: {n}                         |
      | X-A: b, c\r\nX-A: \xe9\xff\r\ncontent-length: {n}    |
      | !#$%&'*+-.^_`\x7c~9aZ: "(b)"\r\nContent-Length: {n} |
    Then each of them is read whole

  Scenario: Blanks around a value belong to no value
    When answers come with
      | lines                                      |
      | Content-Length:{n}                         |
      | Content-Length: \t {n}                     |
      | Content-Length: {n}\x20                    |
      | Content-Length:{n}\x20\t                   |
      | X-A: b\x20\t\x20\r\nContent-Length: {n}\t   |
    Then each of them is read whole

  Scenario: Sound answers in chunks
    When answers come with
      | lines                                                | body                                              |
      | Transfer-Encoding: chunked                           | {chunk}0\r\n\r\n                                  |
      | transfer-encoding: Chunked                           | {chunk}000\r\n\r\n                                |
      | Transfer-Encoding: chunked                           | 0{x};a="b"\r\n{body}\r\n0;c\r\n\r\n               |
      | Transfer-Encoding: chunked                           | {chunk}0\r\nX-Trailer: a\r\nX-B:\r\n\r\n          |
    Then each of them is read whole

  Scenario: Chunks are no chunks
    When answers come with
      | lines                      | body                                  |
      | Transfer-Encoding: chunked | +{chunk}0\r\n\r\n                     |
      | Transfer-Encoding: chunked | -{chunk}0\r\n\r\n                     |
      | Transfer-Encoding: chunked | 0x{chunk}0\r\n\r\n                    |
      | Transfer-Encoding: chunked | 0_{chunk}0\r\n\r\n                    |
      | Transfer-Encoding: chunked | \x20{chunk}0\r\n\r\n                  |
      | Transfer-Encoding: chunked | \x00{chunk}0\r\n\r\n                  |
      | Transfer-Encoding: chunked | {x}{body}\r\n0\r\n\r\n                |
      | Transfer-Encoding: chunked | \r\n{chunk}0\r\n\r\n                  |
      | Transfer-Encoding: chunked | {x}\r\n{body}XX0\r\n\r\n              |
      | Transfer-Encoding: chunked | {x}\r\n{body}0\r\n\r\n                |
      | Transfer-Encoding: chunked | {halfx}\r\n{body}\r\n0\r\n\r\n        |
      | Transfer-Encoding: chunked | {x};a=\x00\r\n{body}\r\n0\r\n\r\n     |
      | Transfer-Encoding: chunked | {x};a=b\rc\r\n{body}\r\n0\r\n\r\n     |
      | Transfer-Encoding: chunked | {body}                                |
    Then none of them is an answer, and none is asked for again

  Scenario: A line of the head is no field
    When answers come with
      | lines                                              |
      | Content-Length : {n}                               |
      | Content-Length\t: {n}                              |
      | X-A : b\r\nContent-Length: {n}                     |
      | X-A\t: b\r\nContent-Length: {n}                    |
      | X A: b\r\nContent-Length: {n}                      |
      | \x20X-A: b\r\nContent-Length: {n}                  |
      | X-A\r\nContent-Length: {n}                         |
      | : b\r\nContent-Length: {n}                         |
      | X-\x00A: b\r\nContent-Length: {n}                  |
      | X-\x01A: b\r\nContent-Length: {n}                  |
      | X-\x0bA: b\r\nContent-Length: {n}                  |
      | X-\x7fA: b\r\nContent-Length: {n}                  |
      | X-\xe9: b\r\nContent-Length: {n}                   |
      | X-(A): b\r\nContent-Length: {n}                    |
      | X-[A]: b\r\nContent-Length: {n}                    |
      | "X-A": b\r\nContent-Length: {n}                    |
      | X-A,B: b\r\nContent-Length: {n}                    |
      | X/A: b\r\nContent-Length: {n}                      |
      | HTTP/1.1 200 OK\r\nContent-Length: {n}             |
      | Content-Length: {n}\r\nX-A : b                     |
      | Content-Length: {n}\r\nX A: b                      |
      | Content-Length: {n}\r\nX-A                         |
      | Content-Length: {n}\r\n: b                         |
      | Content-Length: {n}\r\nX-\x01A: b                  |
      | Content-Length: {n}\r\nX-\xe9: b                   |
      | Content-Length: {n}\r\nX-{A}: b                    |
      | Content-Length: {n}\r\nX=A: b                      |
      | Content-Length{n}                                  |
      | Content Length: {n}                                |
      | Content-Length\x00: {n}                            |
      | Transfer-Encoding : chunked\r\nContent-Length: {n} |
    Then none of them is an answer, and none is asked for again

  Scenario: A value goes on in the next line
    When answers come with
      | lines                                  |
      | Content-Length:\r\n\x20{n}             |
      | X-A: b\r\n\x20c\r\nContent-Length: {n} |
      | X-A: b\r\n\tc\r\nContent-Length: {n}   |
      | Content-Length: {n}\r\nX-A: b\r\n\tc   |
      | Content-Length: {n}\r\nX-A:\r\n\x20\x20 |
    Then none of them is an answer, and none is asked for again

  Scenario: A carriage return is no end of a line
    When answers come with
      | lines                                          |
      | Content-Length: {half}\r0                      |
      | Content-Length: {n}\r                          |
      | X-A: b\rContent-Length: {half}                 |
      | X-A: b\rc\r\nContent-Length: {n}               |
      | X-A: b\r\r\nContent-Length: {n}                |
      | \rX-A: b\r\nContent-Length: {n}                |
      | X-A:\r b\r\nContent-Length: {n}                |
      | Content-Length: {n}\r\nX-A: b\rX-B: c          |
    Then none of them is an answer, and none is asked for again

  Scenario: A control byte in a value
    When answers come with
      | lines                                          |
      | X-A: b\x00c\r\nContent-Length: {n}             |
      | X-A: b\x01c\r\nContent-Length: {n}             |
      | X-A: b\x0bc\r\nContent-Length: {n}             |
      | X-A: b\x0c\r\nContent-Length: {n}              |
      | X-A: \x1bc\r\nContent-Length: {n}              |
      | X-A: b\x7fc\r\nContent-Length: {n}             |
      | Content-Length: {n}\r\nX-A: b\x00              |
      | Content-Length: {n}\x0b                        |
      | Content-Length: \x1f{n}                        |
    Then none of them is an answer, and none is asked for again

  Scenario: Sound heads whose lines all end without a carriage return
    When answers come with
      | line end | lines                       |
      | \n       | Content-Length: {n}         |
      | \n       | X-A: b\r\nContent-Length:{n} |
    Then each of them is read whole

  Scenario: A line of the head ends otherwise than those before it
    When answers come with
      | lines                                          |
      | X-A: b\nContent-Length: {n}                    |
      | X-A: b\nContent-Length: {half}                 |
      | X-A: b\nX-B: c\r\nContent-Length: {n}          |
      | Content-Length: {n}\nX-A: b                    |
      | Content-Length: {n}\n                          |
    Then none of them is an answer, and none is asked for again

  Scenario: Lengths that are the same
    When answers come with
      | lines                                      |
      | Content-Length: {n}\r\nContent-Length: {n} |
      | Content-Length: {n}, {n}\t,{n}             |
      | Content-Length: 0{n}                       |
    Then each of them is read whole

  Scenario: A length that is none, or several
    When answers come with
      | lines                                         |
      | Content-Length: {half}\r\nContent-Length: {n} |
      | Content-Length: {n}\r\nContent-Length: {half} |
      | Content-Length: {n}\r\ncontent-length:        |
      | Content-Length: {half}, {n}                   |
      | Content-Length: {n},                          |
      | Content-Length: ,{n}                          |
      | Content-Length: {n} {n}                       |
      | Content-Length: {n};                          |
      | Content-Length:                               |
      | Content-Length: +{n}                          |
      | Content-Length: -{n}                          |
      | Content-Length: -1                            |
      | Content-Length: 0x{x}                         |
      | Content-Length: {n}.0                         |
      | Content-Length: 0_{n}                         |
      | Content-Length: "{n}"                         |
      | Content-Length: \xb2                          |
      | Content-Length: twenty                        |
      | Content-Length: {n}x                          |
      | Content-Length: 99999999999999999999          |
    Then none of them is an answer, and none is asked for again

  Scenario: A transfer coding that is not chunked once and alone
    When answers come with
      | status line     | lines                                                       | body             |
      | HTTP/1.1 200 OK | Transfer-Encoding: gzip, chunked                            | {chunk}0\r\n\r\n |
      | HTTP/1.1 200 OK | Transfer-Encoding: chunked, gzip                            | {chunk}0\r\n\r\n |
      | HTTP/1.1 200 OK | Transfer-Encoding: chunked, chunked                         | {chunk}0\r\n\r\n |
      | HTTP/1.1 200 OK | Transfer-Encoding: chunked,                                 | {chunk}0\r\n\r\n |
      | HTTP/1.1 200 OK | Transfer-Encoding: chunked;q=1                              | {chunk}0\r\n\r\n |
      | HTTP/1.1 200 OK | Transfer-Encoding: "chunked"                                | {chunk}0\r\n\r\n |
      | HTTP/1.1 200 OK | Transfer-Encoding: xchunked                                 | {chunk}0\r\n\r\n |
      | HTTP/1.1 200 OK | Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked    | {chunk}0\r\n\r\n |
      | HTTP/1.1 200 OK | Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked       | {chunk}0\r\n\r\n |
      | HTTP/1.1 200 OK | Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip       | {chunk}0\r\n\r\n |
      | HTTP/1.1 200 OK | Transfer-Encoding: gzip                                     | {body}           |
      | HTTP/1.1 200 OK | Transfer-Encoding: gzip\r\nContent-Length: {n}              | {body}           |
      | HTTP/1.1 200 OK | Transfer-Encoding: identity\r\nContent-Length: {n}          | {body}           |
      | HTTP/1.1 200 OK | Transfer-Encoding:\r\nContent-Length: {n}                   | {body}           |
      | HTTP/1.0 200 OK | Transfer-Encoding: chunked                                  | {chunk}0\r\n\r\n |
    Then none of them is an answer, and none is asked for again

  Scenario: A length beside chunks
    When answers come with
      | lines                                                    | body             |
      | Transfer-Encoding: chunked\r\nContent-Length: {n}        | {chunk}0\r\n\r\n |
      | Content-Length: {half}\r\nTransfer-Encoding: chunked     | {chunk}0\r\n\r\n |
      | Content-Length: {n}\r\nTransfer-Encoding: chunked        | {body}           |
    Then none of them is an answer, and none is asked for again

  Scenario: Sound status lines
    When answers come with
      | status line                |
      | HTTP/1.1 200 OK            |
      | HTTP/1.1 200\x20           |
      | HTTP/1.1 200               |
      | HTTP/1.1 200 \xe9t\xe9 "a" |
      | HTTP/1.1 200 OK\x20        |
    Then each of them is read whole

  Scenario: A version, a status or a reason that is none
    When answers come with
      | status line              |
      | HTTP/1.2 200 OK          |
      | HTTP/1.10 200 OK         |
      | HTTP/1. 200 OK           |
      | HTTP/1 200 OK            |
      | HTTP/0.9 200 OK          |
      | HTTP/2.0 200 OK          |
      | HTTP/2 200               |
      | http/1.1 200 OK          |
      | HTTP/1.1200 OK           |
      | HTTP/1.1                 |
      | HTTP/1.1 OK              |
      | HTTP/1.1 000 OK          |
      | HTTP/1.1 099 OK          |
      | HTTP/1.1 20 OK           |
      | HTTP/1.1 0200 OK         |
      | HTTP/1.1 2000 OK         |
      | HTTP/1.1 600 OK          |
      | HTTP/1.1 999 OK          |
      | HTTP/1.1 +200 OK         |
      | HTTP/1.1 -200 OK         |
      | HTTP/1.1 2_00 OK         |
      | HTTP/1.1 2\xb20 OK       |
      | HTTP/1.1 200OK           |
      | HTTP/1.1 200.0 OK        |
      | HTTP/1.1\x20\x20200 OK   |
      | HTTP/1.1\t200 OK         |
      | HTTP/1.1 200\tOK         |
      | HTTP/1.1 200 O\x00K      |
      | HTTP/1.1 200 O\x01K      |
      | HTTP/1.1 200 O\rK        |
      | HTTP/1.1 200 OK\x7f      |
      | \x20HTTP/1.1 200 OK      |
      | \r\nHTTP/1.1 200 OK      |
      | OK                       |
    Then none of them is an answer, and none is asked for again

  Scenario: Answers after interim responses
    When answers come with
      | before                                                            |
      | HTTP/1.1 100 Continue\r\n\r\n                                     |
      | HTTP/1.1 102 Processing\r\n\r\n                                   |
      | HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n                    |
      | HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n     |
      | HTTP/1.1 199\r\nContent-Length: 3\r\n\r\n                         |
    Then each of them is read whole

  Scenario: Interim responses that are broken, or switch to another protocol
    When answers come with
      | before                                   | status line                      |
      | nothing                                  | HTTP/1.1 101 Switching Protocols |
      | HTTP/1.1 101 Switching Protocols\r\n\r\n | HTTP/1.1 200 OK                  |
      | HTTP/1.1 100 Continue\r\n\r\n            | HTTP/1.1 101 Switching Protocols |
      | HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n | HTTP/1.1 200 OK                |
      | HTTP/1.1 100 Continue\r\nX-A\r\n\r\n     | HTTP/1.1 200 OK                  |
      | HTTP/1.1 +100 Continue\r\n\r\n           | HTTP/1.1 200 OK                  |
      | HTTP/1.1 100 Continue\r\n\r\nabc         | HTTP/1.1 200 OK                  |
    Then none of them is an answer, and none is asked for again

  Scenario: A trailer that is broken
    When answers come with
      | lines                      | body                                           |
      | Transfer-Encoding: chunked | {chunk}0\r\nX-A : b\r\n\r\n                     |
      | Transfer-Encoding: chunked | {chunk}0\r\nX A: b\r\n\r\n                      |
      | Transfer-Encoding: chunked | {chunk}0\r\nX-A\r\n\r\n                         |
      | Transfer-Encoding: chunked | {chunk}0\r\nX-A: \x00\r\n\r\n                   |
      | Transfer-Encoding: chunked | {chunk}0\r\nX-A: b\rc\r\n\r\n                   |
      | Transfer-Encoding: chunked | {chunk}0\r\nX-A: b\nX-B: c\r\n\r\n              |
      | Transfer-Encoding: chunked | {chunk}0\r\nX-A: b\r\n c\r\n\r\n                |
      | Transfer-Encoding: chunked | {chunk}0\r\nHTTP/1.1 200 OK\r\n\r\n             |
    Then none of them is an answer, and none is asked for again

  Scenario: The head before or after an answer to another request is broken
    When answers come with
      | before                                                                                 | lines               |
      | HTTP/1.1 200 OK\r\nPeridothitch-Attempt-Id: a\r\nContent-Length : 2\r\n\r\nab          | Content-Length: {n} |
      | HTTP/1.1 200 OK\r\nPeridothitch-Attempt-Id: a\r\nContent-Length: 2\r0\r\n\r\nab        | Content-Length: {n} |
      | HTTP/1.1 200 OK\r\nPeridothitch-Attempt-Id: a\r\nContent-Length: +2\r\n\r\nab          | Content-Length: {n} |
      | HTTP/1.1 200 OK\r\nPeridothitch-Attempt-Id: a\r\nX-A\r\nContent-Length: 2\r\n\r\nab    | Content-Length: {n} |
      | HTTP/1.1 200 OK\r\nPeridothitch-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n+0\r\n\r\n | Content-Length: {n} |
      | HTTP/1.1 200 OK\r\nPeridothitch-Attempt-Id: a\r\nContent-Length: 2\r\n\r\nabc          | Content-Length: {n} |
      | HTTP/1.1 200 OK\r\nPeridothitch-Attempt-Id: a\r\nContent-Length: 2\r\n\r\nab           | Content-Length : {n} |
      | HTTP/1.1 200 OK\r\nPeridothitch-Attempt-Id: a\r\nContent-Length: 2\r\n\r\nab           | X A: b\r\nContent-Length: {n} |
    Then none of them is an answer, and none is asked for again

  Scenario: An answer to another request comes first
    When answers come with
      | before                                                                                 |
      | HTTP/1.1 200 OK\r\nPeridothitch-Attempt-Id: a\r\nContent-Length: 2\r\n\r\nab           |
      | HTTP/1.1 200 OK\r\nPeridothitch-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n |
    Then each of them is read whole

  Scenario: The status is 000
    When answers come with
      | status line     |
      | HTTP/1.1 000 OK |
      | HTTP/1.1 000    |
    Then none of them is an answer, and none is asked for again

  Scenario: An upload is answered before its end and reset
    When uploads are answered at once and their connections reset
      | kilobytes | after ms | lines                      | body    |
      | 60        | 0        | nothing                    | {body}  |
      | 60        | 30       | nothing                    | {body}  |
      | 60        | 200      | nothing                    | {body}  |
      | 3000      | 0        | nothing                    | {body}  |
      | 3000      | 30       | nothing                    | {body}  |
      | 3000      | 200      | nothing                    | {body}  |
      | 60        | 30       | Content-Length: 1000       | {body}  |
      | 3000      | 30       | Content-Length: 1000       | {body}  |
      | 60        | 30       | Transfer-Encoding: chunked | {chunk} |
      | 3000      | 30       | Transfer-Encoding: chunked | {chunk} |
    Then none of them is an answer, and none is asked for again

  Scenario: A document that can't be read means nothing
    When answers with these documents are read
      | body        |
      | {cut}       |
      | nothing     |
      | null        |
      | 3           |
      | "text"      |
      | null\n      |
      | x{body}     |
      | {"a": 1}    |
      | <html>      |
    Then none of them is an answer, and none is asked for again

  Scenario: A list of hosts with a status of failure
    When answers with these documents are read
      | reader            | status line               | body   |
      | the list of hosts | HTTP/1.1 500 Server Error | {body} |
      | the list of hosts | HTTP/1.1 503 Unavailable  | {body} |
      | the list of hosts | HTTP/1.1 403 Forbidden    | {body} |
      | the list of hosts | HTTP/1.1 204 No Content   | {body} |
    Then none of them is an answer, and none is asked for again

  Scenario: A process that answers a probe is there, whatever it answers
    When a host that is probed answers with
      | status line               | lines               |
      | HTTP/1.1 200 OK           | Content-Length: 0   |
      | HTTP/1.1 500 Server Error | Content-Length: 0   |
      | HTTP/1.1 000 OK           | Content-Length: 0   |
      | HTTP/1.1 200 OK           | X A: b              |
      | HTTP/1.1 200 OK           | Content-Length: one |
      | no answer                 | X-A: b              |
    Then each of them is read whole

  Scenario: A time for idle connections that is none
    When answers come with
      | lines                                                                |
      | Keep-Alive: timeout=5, max=3\r\nContent-Length: {n}                   |
      | Keep-Alive: timeout=\r\nContent-Length: {n}                           |
      | Keep-Alive: timeout=-1\r\nContent-Length: {n}                         |
      | Keep-Alive: timeout=\xb2\r\nContent-Length: {n}                       |
      | Keep-Alive: timeout=99999999999999999999\r\nContent-Length: {n}       |
      | Keep-Alive: timeout=0\r\nContent-Length: {n}                          |
    Then each of them is read whole

  Scenario: The ids of events are no numbers
    When a stream has events with the ids
      | id   | times |
      | \xb2 | 1     |
      | x    | 1     |
      | 9    | 20    |
      | 9    | 5000  |
    Then each of them is read whole

  Scenario: What follows a broken head
    When answers come with
      | status line     | lines                                     |
      | HTTP/1.1 200 OK | X A: b\r\nContent-Length: {n}             |
      | HTTP/1.1 200 OK | Content-Length: {half}, {n}               |
      | HTTP/1.1 200 OK | Transfer-Encoding: chunked, chunked       |
      | HTTP/1.1 +20 OK | Content-Length: {n}                       |
    Then none of them is an answer, and none is asked for again
    And the connections they came on are closed
    And the log of the entry host names what was wrong with each
      | log                                               |
      | not a field: b'X A: b'                            |
      | not one length: '10, 20'                          |
      | not the coding chunked: HTTP/1.1, ['chunked, chunked'] |
      | not a status line: b'HTTP/1.1 +20 OK'             |

  Scenario: A request that may be repeated is sent to another replica
    When a sound replica is added and callers get lookups until a broken answer
    Then each lookup is answered
