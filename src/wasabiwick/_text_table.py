"""Plain-text tables for the output of commands."""

import typing

COLUMN_GAP = "  "


def text_table(rows: typing.Sequence[typing.Sequence[str]], *, right: int) -> list[str]:
    """Format rows as aligned columns.

    Args:
        rows: Cells by row, the header first; all rows are equally long.
        right: Index of the first right-aligned column, from 0.

    Returns:
        One line for each row.
    """
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [_line(row, widths, right) for row in rows]


def _line(row: typing.Sequence[str], widths: list[int], right: int) -> str:
    cells = (
        cell.rjust(width) if index >= right else cell.ljust(width)
        for index, (cell, width) in enumerate(zip(row, widths, strict=True))
    )
    return COLUMN_GAP.join(cells).rstrip()
