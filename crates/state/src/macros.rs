//! Macros for the derive sets shared by the workspace.

/// `data_type` declares plain data types that derive `Clone`, `Debug`, `PartialEq` and serde's
/// traits.
#[macro_export]
macro_rules! data_type {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
            $item
        )*
    };
}

/// `id_type` declares small value types that derive `Copy`, `Eq`, `Ord` and `Hash` in addition to
/// the traits of [`data_type!`](crate::data_type).
#[macro_export]
macro_rules! id_type {
    ($($item:item)*) => {
        $(
            #[derive(
                Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Deserialize, serde::Serialize,
            )]
            $item
        )*
    };
}
