"""The base class and common types of a scenario's tables."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Share = Annotated[float, Field(ge=0.0, le=1.0)]
Positive = Annotated[float, Field(gt=0.0)]
Count = Annotated[int, Field(ge=1, le=2000)]


class Table(BaseModel):
    """A table of the file, immutable once read; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)
