//! Derive sets shared by the workspace.

/// `data_type` declares plain data with the common derive set: clone, debug, equality and serde.
#[macro_export]
macro_rules! data_type {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
            $item
        )*
    };
}

/// `id_type` declares a small copyable value with ordering and hashing besides the common set.
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
