Feature: Operators run the system from the command line
  All settings are checked at once, results are text or JSON, and each outcome has a
  documented exit code.

  Scenario: All faulty settings of flags and environment are reported at once
    When "serve" is started with faulty flags and environment variables
    Then the command ends with 2 and names each faulty setting with code 6001

  Scenario: An address in use is reported with its code
    When "standin store" is started on an address that is in use
    Then the command ends with 2 and the error 6002

  Scenario: Every command has help and every setting an environment variable
    Then the help of every command explains each of its settings

  Scenario: The shells' completion scripts are printed without starting a shell
    Then the completion script of each shell is printed in one process

  Scenario: An edit that conflicts with an earlier edit is refused and changes nothing
    Given a store process with the example document
    When two operators show the section "routes" and both edit it
    Then the first edit is accepted and the second ends with 3 and shows both texts
    And the stored section is the first edit's

  Scenario: Running the same edit twice is safe
    Given a store process with the example document
    When an operator runs the same edit of "routes" twice
    Then both edits are accepted

  Scenario: Differences are shown before an edit
    Given a store process with the example document
    When an operator asks for the differences of an edited "routes"
    Then the command ends with 6 and shows the new route

  Scenario: A store that is down has an exit code and a lost reply is read back
    Given a store process with the example document
    When the store is down during an edit
    Then the command ends with 4 and the error 4001
    When the reply of an edit is lost
    Then the edit is accepted as revision 2

  Scenario: JSON output has results and errors
    Given a store process with the example document
    When an operator shows the document as JSON
    Then the result has the revision and each section
    When an operator edits a section with an unknown key and JSON output
    Then the error has its code and detail
