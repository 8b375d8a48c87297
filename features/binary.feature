Feature: The product is one file that runs in one process
  The file unpacks itself into memory-backed storage and starts no other process.

  Scenario: The embedded default runs from the file without a child process and without a disk
    Given the built file
    When the embedded default runs from it and serves a stream and its metrics
    Then it has started no process
    And it has written only below its unpack folder

  Scenario: Compiled modules are imported from the file
    Given the built file
    When its interpreter imports the modules "orjson, msgspec, thrift.protocol.fastbinary, xxhash"
    Then they come from its unpack folder

  Scenario: Concurrent starts share one unpacked copy
    Given the built file
    When it is started 6 times at once with an empty unpack folder
    Then each start succeeds and one copy is left

  Scenario: Unpacked copies of older builds are removed unless they are in use
    Given the built file
    When the unpack folder has an unused and a used copy of older builds
    Then the next start removes the unused one only

  Scenario: An unpack folder that others can write to is refused with a code
    Given the built file
    When its unpack folder is writable by others
    Then the start ends with exit code 2 and the code 6003

  Scenario: Equal sources give an equal file
    Given the built file
    When it is built again
    Then both files are equal
