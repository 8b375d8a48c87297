"""Exit codes of the command line."""

import enum

from peridothitch import errors

__all__ = ["ExitCode", "exit_code"]


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    FAILURE = 1
    INVALID_SETTINGS = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNCLEAR = 5
    DIFFERS = 6
    UNDONE = 7
    DOUBTFUL = 8

    @property
    def meaning(self):
        """One sentence that explains the code to operators."""
        return _MEANING_BY_EXIT[self]


_MEANING_BY_EXIT = {
    ExitCode.OK: "Done.",
    ExitCode.FAILURE: "Refused or failed; the coded error tells why.",
    ExitCode.INVALID_SETTINGS: "A flag, argument or environment variable is invalid.",
    ExitCode.CONFLICT: "Another edit was first; nothing was changed.",
    ExitCode.UNAVAILABLE: "A service did not take the call; nothing was changed.",
    ExitCode.UNCLEAR: "The change may have been made; run the command again.",
    ExitCode.DIFFERS: "`config diff` found differences.",
    ExitCode.UNDONE: "`status` found something that is not done yet.",
    ExitCode.DOUBTFUL: "`rules check` found entries that can't work as written.",
}

_EXIT_BY_CODE = {
    errors.Code.INVALID_SETTING: ExitCode.INVALID_SETTINGS,
    errors.Code.ADDRESS_IN_USE: ExitCode.INVALID_SETTINGS,
    errors.Code.UNPACK_FAILED: ExitCode.INVALID_SETTINGS,
    errors.Code.SECTION_CONFLICT: ExitCode.CONFLICT,
    errors.Code.STORE_UNAVAILABLE: ExitCode.UNAVAILABLE,
    errors.Code.PEER_FAILED: ExitCode.UNAVAILABLE,
    errors.Code.STORE_UNCLEAR: ExitCode.UNCLEAR,
}


def exit_code(error):
    """Return the `ExitCode` for a `peridothitch.errors.CodedError`."""
    return _EXIT_BY_CODE.get(error.code, ExitCode.FAILURE)
