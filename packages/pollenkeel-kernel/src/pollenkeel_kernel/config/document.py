"""Encoding of configuration documents for storage, and the effective configuration."""

from __future__ import annotations

import json
import zlib

import xxhash
from result import Err, Ok, Result

from pollenkeel_kernel.config.merge import merge
from pollenkeel_kernel.config.model import ClusterConfig, ConfigDocument
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.json_text import parse_json
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.settings import structure_checked

_MEMBER_NAMES = {"base", "overlays_by_site"}
#: Maximum decompressed size in bytes; bounds the expansion of a corrupted or malicious
#: body.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
_COMPRESSION_LEVEL = 6


def encode_document(document: ConfigDocument) -> bytes:
    """Encode a document as compressed JSON; equal documents give equal bytes.

    The text is compressed because a document with 670 teams takes 78 kB, which at
    20,000 changes a day would exceed a node's bandwidth of 16 kB/s.

    Parameters
    ----------
    document : ConfigDocument
        Validated document: all keys are strings and all numbers are finite.

    Raises
    ------
    TypeError, ValueError
        If a value cannot be represented in JSON.
    """
    members = {
        "base": document.base,
        "overlays_by_site": document.overlays_by_site,
    }
    text = json.dumps(members, sort_keys=True, allow_nan=False, separators=(",", ":"))
    return zlib.compress(text.encode(), _COMPRESSION_LEVEL)


def decode_document(body: bytes) -> Result[ConfigDocument, Refusal]:
    """Decode a stored body.

    Returns
    -------
    Result[ConfigDocument, Refusal]
        Code 5001 if the body is not a valid document.
    """
    try:
        members = parse_json(_decompress(body))
    except (ValueError, zlib.error) as error:
        return _bad_config(f"not a compressed JSON document: {error}")
    if not isinstance(members, dict) or set(members) != _MEMBER_NAMES:
        return _bad_config(f"expected the members {', '.join(sorted(_MEMBER_NAMES))}")
    base, overlays_by_site = members["base"], members["overlays_by_site"]
    if not isinstance(base, dict):
        return _bad_config("base: expected a mapping")
    if not _is_mapping_of_mappings(overlays_by_site):
        return _bad_config("overlays_by_site: expected a mapping for each site")
    return Ok(ConfigDocument(base, overlays_by_site))


def _decompress(body: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(body, MAX_DOCUMENT_BYTES)
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise ValueError(f"truncated or larger than {MAX_DOCUMENT_BYTES} bytes")
    return text


def hash_body(body: bytes) -> str:
    """Return the content hash used in object keys, as 32 hexadecimal digits."""
    return xxhash.xxh3_128_hexdigest(body)


def object_key(version: int, body: bytes) -> str:
    """Return the object store key for the body of a configuration version."""
    return f"config/{version}-{hash_body(body)}"


def effective_config(
    document: ConfigDocument, site: str
) -> Result[ClusterConfig, Refusal]:
    """Return the configuration in force at a site.

    Parameters
    ----------
    document : ConfigDocument
        Accepted document.
    site : str
        Name of the site; the base alone applies if the site has no overlay.

    Returns
    -------
    Result[ClusterConfig, Refusal]
        Code 5001, listing every error, if the merged document has an invalid
        structure.
    """
    merged = merge(document.base, document.overlays_by_site.get(site, {}))
    source = f"configuration of site {site or 'without name'}"
    return structure_checked(merged, ClusterConfig, source).map_err(
        lambda faults: Refusal(Code.BAD_CONFIG, "; ".join(faults))
    )


def find_site(document: ConfigDocument, data_centre: str) -> str:
    """Return the site of a data centre, or an empty string if it is unknown."""
    for layer in (document.base, *document.overlays_by_site.values()):
        fields = _section(layer, "data_centres").get(data_centre)
        if isinstance(fields, dict) and isinstance(fields.get("site"), str):
            return fields["site"]
    return ""


def data_centre_names(document: ConfigDocument) -> list[str]:
    """Return the data centres of the base and of all overlays, sorted."""
    names: set[str] = set()
    for layer in (document.base, *document.overlays_by_site.values()):
        names.update(_section(layer, "data_centres"))
    return sorted(names)


def _section(layer: dict, name: str) -> dict:
    section = layer.get(name)
    return section if isinstance(section, dict) else {}


def _is_mapping_of_mappings(value: object) -> bool:
    return isinstance(value, dict) and all(
        isinstance(item, dict) for item in value.values()
    )


def _bad_config(detail: str) -> Err[Refusal]:
    return Err(Refusal(Code.BAD_CONFIG, detail))
