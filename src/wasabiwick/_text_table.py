"""Tables of plain text for the commands' output."""

import typing

GAP = "  "


def text_table(rows: typing.Sequence[typing.Sequence[str]], *, right: int) -> list[str]:
    """Lay rows out in columns.

    Args:
        rows: Cells by row, the header first; all rows are equally long.
        right: Number of the first column that is aligned to the right, from 0.

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
    return GAP.join(cells).rstrip()
