"""Writes CHANGELOG.md from the fragments in changelog.d."""

import pathlib

ROOT = pathlib.Path(__file__).parent.parent
HEADER = "# Changelog\n\n<!-- Made by `make changelog` from changelog.d. -->\n\n## Unreleased\n\n"


def entry_of(fragment: pathlib.Path) -> str:
    """Return a fragment as one entry of the changelog's list."""
    lines = fragment.read_text(encoding="utf-8").strip().splitlines()
    if lines[0].startswith("- "):
        return "\n".join(lines)
    return "\n".join(["- " + lines[0], *("  " + line for line in lines[1:])])


def main() -> None:
    """Write CHANGELOG.md."""
    fragments = sorted((ROOT / "changelog.d").glob("*.md"))
    entries = "\n".join(map(entry_of, fragments))
    (ROOT / "CHANGELOG.md").write_text(f"{HEADER}{entries}\n", encoding="utf-8")


if __name__ == "__main__":
    main()
