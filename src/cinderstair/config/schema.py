"""Marshmallow schemas of a configuration document."""

from marshmallow import Schema, ValidationError, fields, validate

from ..runtime.settings import NAME, check_address

LABELS = fields.Dict(
    keys=fields.String(validate=validate.Regexp(r"^[A-Za-z_][A-Za-z0-9_.-]*$", error="not a label's name")),
    values=fields.String(validate=validate.Length(max=128)),
    load_default=dict,
)


class BackendSchema(Schema):
    """One backend of a database."""

    name = fields.String(required=True, validate=NAME)
    address = fields.String(required=True, validate=check_address)
    site = fields.String(required=True, validate=NAME)
    cap = fields.Integer(required=True, strict=True, validate=validate.Range(min=1, max=100_000))
    labels = LABELS


class DatabaseSchema(Schema):
    """One database."""

    backends = fields.List(
        fields.Nested(BackendSchema), required=True, validate=validate.Length(min=1, error="no backends")
    )


class WindowSchema(Schema):
    """One maintenance window; times and the selector are parsed later."""

    name = fields.String(required=True, validate=NAME)
    starts = fields.String(required=True)
    ends = fields.String(required=True)
    empties = fields.String(required=True)


class ConfigurationSchema(Schema):
    """A whole document; constraints between its parts are checked later."""

    version = fields.Integer(required=True, strict=True, validate=validate.Range(min=1, max=2**62))
    databases = fields.Dict(
        keys=fields.String(validate=NAME),
        values=fields.Nested(DatabaseSchema),
        required=True,
        validate=validate.Length(min=1, error="no databases"),
    )
    stalls = fields.Dict(keys=fields.String(validate=NAME), values=LABELS, load_default=dict)
    language = fields.Raw(load_default="")
    windows = fields.List(fields.Nested(WindowSchema), load_default=list)


def join_lines(value: object) -> str:
    """The program text from one string, or from a list of lines, which is more readable in JSON.

    Raises ValidationError for any other value.
    """
    if isinstance(value, str):
        return value
    if isinstance(value, list) and all(isinstance(line, str) and "\n" not in line for line in value):
        return "\n".join(value)
    raise ValidationError("a text, or a list of lines")
