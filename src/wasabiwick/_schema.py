"""YAML validation: builds objects from a file by their constructors' signatures.

The constructor of a class is its schema: its keyword arguments are the keys, their annotations the
types and rules, and arguments with defaults may be left out. All faults of a file are reported in
one pass, each with its line and path.
"""

import collections.abc
import functools
import inspect
import types
import typing

import yaml

from ._fields import Rule

T = typing.TypeVar("T")
FieldFault = tuple[str, str]
CrossRule = typing.Callable[[typing.Any], typing.Iterable[FieldFault]]

MAX_DEPTH = 32  # Most levels to which values may be nested.
_SCALARS = {str: "text", int: "a whole number", float: "a number", bool: "true or false"}
_SEQUENCES = (list, tuple, set, frozenset, collections.abc.Iterable, collections.abc.Sequence)
_MAPPINGS = (dict, collections.abc.Mapping)
_CROSS_RULES: dict[type, list[CrossRule]] = {}


class Fault:
    """An error in a file and its place.

    Args:
        path: Path of the key, such as ``timing.heartbeat`` or ``publishers.first``.
        line: Line in the file, from 1.
        text: What is wrong, without path and line.
    """

    __slots__ = ("path", "line", "text")

    def __init__(self, *, path: str, line: int, text: str) -> None:
        self.path = path
        self.line = line
        self.text = text

    def __str__(self) -> str:
        place = f"line {self.line}: {self.path}" if self.path else f"line {self.line}"
        return f"{place}: {self.text}"

    def located(self, source: object) -> str:
        """Return the fault as ``file:line: path: text``, which editors turn into a link."""
        where = f"{self.path}: " if self.path else ""
        return f"{source}:{self.line}: {where}{self.text}"

    def __repr__(self) -> str:
        return f"Fault({self})"


def cross_rule(cls: type) -> typing.Callable[[CrossRule], CrossRule]:
    """Register a check across the fields of a built object.

    The registered function yields a pair for each fault: the name of the field and what is wrong
    with it.
    """

    def register(rule: CrossRule) -> CrossRule:
        _CROSS_RULES.setdefault(cls, []).append(rule)
        return rule

    return register


class Param:
    """One keyword argument of a constructor.

    Args:
        name: Name of the argument.
        kind: Type of the argument, without the rules.
        rules: Conditions that a value must meet.
        required: Whether the argument has no default.
        default: The argument's default, if there is one.
        optional: Whether a null value counts as if the argument were left out.
    """

    __slots__ = ("name", "kind", "rules", "required", "default", "optional")

    def __init__(
        self,
        *,
        name: str,
        kind: typing.Any,
        rules: tuple[Rule, ...],
        required: bool,
        default: typing.Any,
        optional: bool,
    ) -> None:
        self.name = name
        self.kind = kind
        self.rules = rules
        self.required = required
        self.default = default
        self.optional = optional


@functools.cache
def params_of(cls: type) -> dict[str, Param]:
    """Return the keyword arguments of a class's constructor by name."""
    hints = typing.get_type_hints(cls.__init__, include_extras=True)
    params = {}
    for name, one in list(inspect.signature(cls.__init__).parameters.items())[1:]:
        optional, hint = _without_none(hints[name])
        kind, rules = _without_rules(hint)
        params[name] = Param(
            name=name,
            kind=kind,
            rules=rules,
            required=one.default is inspect.Parameter.empty,
            default=one.default,
            optional=optional,
        )
    return params


def _without_none(hint: typing.Any) -> tuple[bool, typing.Any]:
    if typing.get_origin(hint) not in (typing.Union, types.UnionType):
        return False, hint
    kinds = [kind for kind in typing.get_args(hint) if kind is not type(None)]
    if len(kinds) != 1:
        raise TypeError(f"settings of several types are not supported: {hint}")
    return True, kinds[0]


def _without_rules(hint: typing.Any) -> tuple[typing.Any, tuple[Rule, ...]]:
    if typing.get_origin(hint) is not typing.Annotated:
        return hint, ()
    kind, *rules = typing.get_args(hint)
    return kind, tuple(rule for rule in rules if isinstance(rule, Rule))


def read_yaml(text: str, kind: type[T]) -> T | list[Fault]:
    """Build an object from YAML.

    Args:
        text: The YAML document.
        kind: A class with a keyword-only constructor, or ``dict[str, SomeClass]``. If the class
            takes a ``name``, the dict's key is passed as the name.

    Returns:
        The object, or all faults in the order of their lines.
    """
    node = _compose(text)
    if isinstance(node, Fault):
        return [node]
    reader = Reader()
    value = reader.value(node, kind, "", ())
    return sorted(reader.faults, key=lambda fault: fault.line) if reader.faults else value


def top_level_keys(text: str) -> list[str]:
    """Return the top-level keys of a document, or an empty list if it is not a mapping."""
    node = _compose(text)
    if not isinstance(node, yaml.MappingNode):
        return []
    return [str(key.value) for key, _ in node.value]


def _compose(text: str) -> yaml.Node | Fault:
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as exc:
        mark = exc.problem_mark or exc.context_mark
        return Fault(path="", line=mark.line + 1 if mark else 1, text=f"not YAML: {exc.problem}")
    except (yaml.YAMLError, RecursionError) as exc:
        return Fault(path="", line=1, text=f"not YAML: {str(exc).splitlines()[0]}")
    return node or Fault(path="", line=1, text="the file is empty")


class Reader:
    """Turns YAML nodes into values and collects all faults."""

    __slots__ = ("faults", "_depth", "_loader")

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self._depth = 0
        self._loader = yaml.SafeLoader("")

    def fault(self, node: yaml.Node, path: str, text: str) -> None:
        """Record a fault at a node."""
        self.faults.append(Fault(path=path, line=node.start_mark.line + 1, text=text))

    def value(
        self, node: yaml.Node, kind: typing.Any, path: str, rules: tuple[Rule, ...]
    ) -> typing.Any:
        """Build the value of a node.

        Args:
            node: The YAML node.
            kind: Type of the value.
            path: Path of the node in the document.
            rules: Conditions on the value.

        Returns:
            The value; it must not be used if a fault was recorded.
        """
        if self._depth >= MAX_DEPTH:
            self.fault(node, path, f"is nested more than {MAX_DEPTH} levels deep")
            return None
        self._depth += 1
        try:
            return self._value(node, kind, path, rules)
        finally:
            self._depth -= 1

    def _value(
        self, node: yaml.Node, kind: typing.Any, path: str, rules: tuple[Rule, ...]
    ) -> typing.Any:
        origin = typing.get_origin(kind) or kind
        if origin is typing.Annotated:
            kind, more = _without_rules(kind)
            return self._value(node, kind, path, rules + more)
        if origin is typing.Literal:
            return self._literal(node, typing.get_args(kind), path)
        if origin in _SCALARS:
            return self._scalar(node, origin, path, rules)
        if origin in _MAPPINGS:
            return self._mapping(node, typing.get_args(kind)[1], path)
        if origin in _SEQUENCES:
            return self._sequence(node, typing.get_args(kind)[0], path)
        return self.build(node, kind, path)

    def _literal(self, node: yaml.Node, choices: tuple, path: str) -> typing.Any:
        value = self._scalar_value(node)
        if value in choices:
            return value
        self.fault(node, path, f"must be one of {', '.join(choices)}, not {value!r}")
        return None

    def _scalar(self, node: yaml.Node, kind: type, path: str, rules: tuple[Rule, ...]) -> object:
        value = self._scalar_value(node)
        if kind is float and type(value) is int:
            value = float(value)
        if type(value) is not kind:
            self.fault(node, path, f"must be {_SCALARS[kind]}, not {_describe(node, value)}")
            return None
        for rule in rules:
            if not rule.test(value):
                self.fault(node, path, f"must be {rule.text}, not {value!r}")
        return value

    def _scalar_value(self, node: yaml.Node) -> typing.Any:
        if not isinstance(node, yaml.ScalarNode):
            return None
        try:
            return self._loader.construct_object(node)
        except (yaml.YAMLError, ValueError, OverflowError):
            return None

    def _sequence(self, node: yaml.Node, kind: typing.Any, path: str) -> list:
        if not isinstance(node, yaml.SequenceNode):
            self.fault(node, path, f"must be a list, not {_describe(node)}")
            return []
        return [
            self.value(item, kind, f"{path}[{index}]", ()) for index, item in enumerate(node.value)
        ]

    def _mapping(self, node: yaml.Node, kind: typing.Any, path: str) -> dict:
        entries = self.entries(node, path)
        if inspect.isclass(kind) and "name" in params_of(kind):
            return {
                key: self.build(item, kind, _join(path, key), name=key)
                for key, item in entries.items()
            }
        return {key: self.value(item, kind, _join(path, key), ()) for key, item in entries.items()}

    def entries(self, node: yaml.Node, path: str) -> dict[str, yaml.Node]:
        """Return a mapping's value nodes by key; keys must be text and unique."""
        if not isinstance(node, yaml.MappingNode):
            self.fault(node, path, f"must be a mapping, not {_describe(node)}")
            return {}
        entries: dict[str, yaml.Node] = {}
        for key_node, value_node in node.value:
            key = self._scalar_value(key_node)
            if not isinstance(key, str):
                self.fault(key_node, path, f"has a key that is not text: {_describe(key_node)}")
            elif key in entries:
                self.fault(key_node, _join(path, key), "is given twice")
            else:
                entries[key] = value_node
        return entries

    def build(self, node: yaml.Node, cls: type[T], path: str, name: str = "") -> T | None:
        """Build an object from a mapping of its constructor's arguments.

        Args:
            node: The YAML mapping.
            cls: The class to build.
            path: Path of the node in the document.
            name: The constructor's ``name`` if the parent mapping's key gives it, or empty.

        Returns:
            The object, or None if there was a fault.
        """
        before = len(self.faults)
        if not isinstance(node, yaml.MappingNode):
            self.fault(node, path, f"must be a mapping, not {_describe(node)}")
            return None
        entries = self.entries(node, path)
        params = dict(params_of(cls))
        fields: dict[str, object] = {}
        if name:
            fields["name"] = self._checked_name(node, name, path, params.pop("name"))
        for key, item in entries.items():
            if key not in params:
                self._report_unknown_key(node, key, path, params)
            elif not (params[key].optional and _is_null(item)):
                param = params[key]
                fields[key] = self.value(item, param.kind, _join(path, key), param.rules)
        for key, param in params.items():
            if param.required and key not in entries:
                self.fault(node, _join(path, key), "is missing")
        if len(self.faults) > before:
            return None
        return self._construct(node, cls, path, fields, entries)

    def _checked_name(self, node: yaml.Node, name: str, path: str, param: Param) -> str:
        for rule in param.rules:
            if not rule.test(name):
                self.fault(node, path, f"must be {rule.text}, not {name!r}")
        return name

    def _construct(
        self, node: yaml.Node, cls: type[T], path: str, fields: dict, entries: dict
    ) -> T | None:
        try:
            built = cls(**fields)
        except (TypeError, ValueError) as exc:
            self.fault(node, path, str(exc))
            return None
        for rule in _CROSS_RULES.get(cls, ()):
            for name, text in rule(built):
                self.fault(entries.get(name, node), _join(path, name), text)
        return built

    def _report_unknown_key(
        self, node: yaml.Node, key: str, path: str, params: dict[str, Param]
    ) -> None:
        known = ", ".join(sorted(params))
        at = next(one for one, _ in node.value if one.value == key)
        self.fault(at, _join(path, key), f"is not known here; known keys are {known}")


def _is_null(node: yaml.Node) -> bool:
    return node.tag == "tag:yaml.org,2002:null"


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def _describe(node: yaml.Node, value: object = None) -> str:
    if isinstance(node, yaml.MappingNode):
        return "a mapping"
    if isinstance(node, yaml.SequenceNode):
        return "a list"
    return repr(node.value) if value is None else repr(value)
